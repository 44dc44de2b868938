package io.anvilvalve.rules.release

import io.anvilvalve.api.id.BackendServerId
import io.anvilvalve.api.id.DataCentreId
import io.anvilvalve.api.id.HostId
import io.anvilvalve.api.id.Incarnation
import io.anvilvalve.api.id.LogOffset
import io.anvilvalve.api.id.ModelId
import io.anvilvalve.api.id.RegionId
import io.anvilvalve.api.log.LogRecord
import io.anvilvalve.api.log.Member
import io.anvilvalve.api.port.EngineOrder
import io.anvilvalve.api.port.EngineTarget
import io.anvilvalve.api.release.Release
import io.anvilvalve.api.release.Role
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Engine that takes [ROLE_CHANGE_DURATION] to apply an order and serves no models during a role change. */
internal class VirtualEngine(val checksFencing: Boolean, var state: EngineTarget) {
    var ordered = state
    var readyAt = Duration.ZERO
    var newestFencingToken = -1L

    val serving: EngineTarget get() = if (state.role == ordered.role) state else state.copy(models = emptyMap())

    companion object {
        val ROLE_CHANGE_DURATION = 4.seconds
    }
}

/** Faults that are injected into orders, lease appends and state reads; each planned fault is injected once. */
internal enum class OrderFault {
    CRASH,
    LOST_ANSWER,
    LOST_REQUEST,
    DELAYED,
    PAUSE,
    OUTAGE,
    DUPLICATED_LEASE,
    STATE_UNREADABLE,
}

/** Bugs seeded into the simulation to show that the checks detect them. */
internal enum class SeededOrderBug { OLD_ORDER, DUPLICATED_ORDER, EARLY_ROLE_CHANGE }

/** Simulates hosts, engines and the log, and checks fencing, pool capacity and the interval between loads. */
internal class EngineFleet(
    private val release: Release,
    val engines: Map<BackendServerId, VirtualEngine>,
    private val faults: MutableList<Pair<Int, OrderFault>>,
    private val bug: SeededOrderBug? = null,
) {
    private val times = ReleaseTimes()

    private class Host(val incarnation: Incarnation, var rules: ReleaseRules) {
        var isAlive = true
        var pausedUntil = Duration.ZERO
        var position = 0
        var polls = 0
    }

    val violations = mutableListOf<String>()
    var orders = 0
        private set
    var now = 1.seconds
        private set
    private val records = mutableListOf<LogRecord>()
    private val scheduled = mutableListOf<Pair<Duration, () -> Unit>>()
    private val hosts = (0..2).map { Incarnation("h$it") }.map { Host(it, ReleaseRules(it, times = times)) }
    private var members = hosts.toList()
    private var logDownUntil = Duration.ZERO
    private var lastLoad = -Duration.INFINITE

    init {
        hosts.forEach { host ->
            val state = ReleaseSnapshot(release = release)
            host.rules.reduce(ReleaseEvent.Restored(LogOffset(0), state), now)
        }
        records += LogRecord.SlotsReleased(emptyList(), Incarnation("start"))
        hosts.forEach { it.position = 1 }
        publishMembers()
        if (bug == SeededOrderBug.EARLY_ROLE_CHANGE) {
            after(1.seconds) { engines.values.take(3).forEach { it.ordered = engines.values.last().state } }
        }
    }

    val allTargetsReached: Boolean
        get() = engines.all { (id, engine) -> engine.state == release.targetOf(release.servers.getValue(id)) }

    val heldEngines: Set<BackendServerId> get() = hosts.flatMap { it.rules.heldEngines }.toSet()

    fun run(length: Duration) {
        val until = now + length
        while (now < until) step()
    }

    /** Runs until all engines have reached their targets, at most for [length]. */
    fun runUntilTargetsReached(length: Duration) {
        val until = now + length
        while (now < until && !allTargetsReached) step()
    }

    private fun step() {
        now += 100.milliseconds
        scheduled.filter { it.first <= now }.also { scheduled.removeAll(it) }.forEach { it.second() }
        engines.values.filter { now >= it.readyAt }.forEach { it.state = it.ordered }
        hosts.forEach { if (it.isAlive && now >= it.pausedUntil) runHost(it) }
        checkCapacity()
    }

    /** Runs one step of a host; after a pause, it first processes a log answer that was delayed in the process. */
    private fun runHost(host: Host) {
        if (host.pausedUntil > Duration.ZERO) {
            host.pausedUntil = Duration.ZERO
            reduce(host, ReleaseEvent.TailReached)
            reduce(host, ReleaseEvent.Tick(0))
        }
        if (now >= logDownUntil && host.polls++ % 5 == 0) {
            while (host.position < records.size) {
                val offset = LogOffset(host.position.toLong())
                reduce(host, ReleaseEvent.RecordApplied(offset, records[host.position++]))
            }
            reduce(host, ReleaseEvent.TailReached)
        }
        reduce(host, ReleaseEvent.Tick(0))
    }

    private fun reduce(host: Host, event: ReleaseEvent) {
        if (!host.isAlive || now < host.pausedUntil) return
        host.rules.reduce(event, now).forEach { if (host.isAlive) perform(host, it) }
    }

    private fun perform(host: Host, effect: ReleaseEffect) {
        when (effect) {
            is ReleaseEffect.Append -> append(host, effect.records)

            is ReleaseEffect.ReadState -> {
                val lost = takeFault(OrderFault.STATE_UNREADABLE)
                val state = engines.getValue(effect.server).state.takeUnless { lost }
                after(50.milliseconds) { reduce(host, ReleaseEvent.StateRead(effect.server, state)) }
            }

            is ReleaseEffect.SendOrder -> send(host, effect.server, effect.order)

            else -> Unit
        }
    }

    private fun append(host: Host, appended: List<LogRecord>) {
        val isDown = now < logDownUntil
        if (!isDown) {
            records += appended
            if (appended.any { it is LogRecord.OrderLease } && takeFault(OrderFault.DUPLICATED_LEASE)) {
                after(20.seconds) { records += appended }
            }
        }
        if (isDown) after(50.milliseconds) { reduce(host, ReleaseEvent.AppendFailed(appended, mayHaveHappened = true)) }
    }

    private fun send(host: Host, id: BackendServerId, order: EngineOrder) {
        orders++
        checkLoadInterval(id, order)
        val fault = faults.firstOrNull { it.first <= orders && it.second !in nonOrderFaults }
            ?.also { faults.remove(it) }?.second
        if (bug == SeededOrderBug.DUPLICATED_ORDER) checkLoadInterval(id, order)
        if (bug == SeededOrderBug.OLD_ORDER) {
            after(5.seconds) { deliver(host, id, order.copy(fencing = order.fencing - 1), isAnswerLost = true) }
        }
        val isSlow = fault == OrderFault.DELAYED || fault == OrderFault.CRASH
        val delay = if (isSlow) times.orderTimeout - 100.milliseconds else 50.milliseconds
        if (fault != OrderFault.LOST_REQUEST) after(delay) { deliver(host, id, order, isAnswerLost = fault != null) }
        if (fault != null) after(60.milliseconds) { reduce(host, ReleaseEvent.OrderAnswered(id, refused = null)) }
        when (fault) {
            OrderFault.CRASH -> remove(host)
            OrderFault.PAUSE -> pause(host)
            OrderFault.OUTAGE -> logDownUntil = now + 20.seconds
            else -> Unit
        }
    }

    private fun pause(host: Host) {
        host.pausedUntil = now + 40.seconds
        after(9.seconds) {
            members = members - host
            publishMembers()
        }
    }

    /** Ends the host; an operator soon declares it gone, while its last order may still be in flight. */
    private fun remove(host: Host) {
        host.isAlive = false
        after(2.seconds) {
            members = members - host
            publishMembers()
        }
    }

    private fun deliver(host: Host, id: BackendServerId, order: EngineOrder, isAnswerLost: Boolean) {
        val engine = engines.getValue(id)
        val isOld = order.fencing < engine.newestFencingToken
        if (isOld && !engine.checksFencing) violations += "an old order reached $id, which checks no fencing tokens"
        val refused = isOld && engine.checksFencing
        if (!refused) {
            engine.newestFencingToken = order.fencing
            if (order.target != engine.ordered) {
                engine.ordered = order.target
                engine.readyAt = now + VirtualEngine.ROLE_CHANGE_DURATION
            }
        }
        if (!isAnswerLost) after(10.milliseconds) { reduce(host, ReleaseEvent.OrderAnswered(id, refused)) }
    }

    private fun checkLoadInterval(id: BackendServerId, order: EngineOrder) {
        val isLoad = order.target.models.any { it !in engines.getValue(id).state.models.entries }
        if (!isLoad) return
        if (now - lastLoad < times.loadInterval) violations += "two loads within ${now - lastLoad}"
        lastLoad = now
    }

    private fun checkCapacity() {
        for (role in Role.entries) {
            for (model in release.models.keys) {
                val required = slots(role, model) { release.targetOf(release.servers.getValue(it)) }
                val available = slots(role, model) { engines.getValue(it).serving }
                if (available < required) violations += "$role of $model has $available of $required slots at $now"
            }
        }
    }

    private fun slots(role: Role, model: ModelId, state: (BackendServerId) -> EngineTarget): Int =
        release.servers.values.filter { state(it.id).role == role && model in state(it.id).models }.sumOf { it.slots }

    private fun publishMembers() {
        val list = members.map {
            Member(HostId(it.incarnation.value), it.incarnation, "a", DataCentreId("d"), RegionId("r"))
        }
        members.forEach { reduce(it, ReleaseEvent.MembersChanged(list, current = true)) }
    }

    private fun takeFault(fault: OrderFault): Boolean =
        faults.firstOrNull { it.second == fault }?.let { faults.remove(it) } == true

    private fun after(delay: Duration, action: () -> Unit) {
        scheduled += now + delay to action
    }

    private companion object {
        val nonOrderFaults = setOf(OrderFault.DUPLICATED_LEASE, OrderFault.STATE_UNREADABLE)
    }
}
