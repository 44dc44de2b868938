package io.anvilvalve.rules.release

import io.anvilvalve.api.id.BackendServerId
import io.anvilvalve.api.log.LogRecord
import io.anvilvalve.api.port.EngineOrder
import io.anvilvalve.api.port.EngineTarget
import io.anvilvalve.api.release.Release
import io.anvilvalve.api.release.Role
import io.anvilvalve.rules.release.EngineProgress.Step
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * Issues orders that bring the engines to their target states while this host holds the lease.
 *
 * A new holder reads the state of every engine and so completes the changes that the previous holder began. An order
 * is sent only immediately after the state was read, and the state is read again afterwards.
 */
internal class OrderIssuer(
    private val leases: OrderLeases,
    private val outbox: LogOutbox,
    private val times: ReleaseTimes,
) {
    private val engines = LinkedHashMap<BackendServerId, EngineProgress>()
    private var release = Release()
    private var areTargetsOutdated = false
    private var nextLoadAt = Duration.ZERO
    private var engineToLoad: EngineProgress? = null
    private var nextScanAt = Duration.ZERO
    private var nextOrderNumber = 0L
    private var out = mutableListOf<ReleaseEffect>()

    /**
     * Engines whose role change is held back because a pool would fall below the capacity that the release requires.
     */
    var heldEngines: Set<BackendServerId> = emptySet()
        private set

    /** Returns and clears the collected effects. */
    fun takeEffects(): List<ReleaseEffect> = out.also { out = mutableListOf() }

    /** Stores the release and defers the update of targets, so that only the lease holder iterates over all servers. */
    fun releaseChanged(next: Release) {
        val last = release
        release = next
        // Targets depend only on these maps, and unchanged maps are shared between releases.
        if (next.servers === last.servers && next.models === last.models && next.adapters === last.adapters) return
        areTargetsOutdated = true
    }

    /** Discards the states observed under an earlier lease, so that every engine is read again. */
    fun leaseChanged(now: Duration) {
        nextLoadAt = now + times.loadInterval
        engines.keys.toList().forEach { id ->
            engines.computeIfPresent(id) { _, old -> EngineProgress(old.server, old.target) }
        }
    }

    fun stateRead(id: BackendServerId, state: EngineTarget?, now: Duration) {
        if (areTargetsOutdated) updateTargets(now)
        val engine = engines[id]?.takeIf { it.step == Step.READING } ?: return
        engine.observed = state
        engine.readAt = now
        when {
            state == null -> engine.advance(Step.READ_SCHEDULED, now + times.stateReadInterval)

            engine.isReached -> targetReached(engine, now)

            isOrderInFlight(engine, now) -> engine.advance(Step.READ_SCHEDULED, now + times.stateReadInterval)

            else -> {
                engine.advance(Step.WAITING, now)
                scan(now)
            }
        }
    }

    fun orderAnswered(id: BackendServerId, refused: Boolean?, now: Duration) {
        val engine = engines[id]?.takeIf { it.step == Step.ORDERED } ?: return
        engine.accepted = refused == false
        if (refused == true) {
            engine.orderedAt = null
            leases.refused(now)
        }
        engine.advance(Step.READ_SCHEDULED, if (refused == false) now + times.stateReadInterval else now)
    }

    fun tick(now: Duration) {
        if (now >= nextScanAt) scan(now)
    }

    private fun targetReached(engine: EngineProgress, now: Duration) {
        if (engine.orderedAt != null) {
            outbox.add(LogRecord.OrderDone(engine.server.id, describe(engine.target)), now)
        }
        engine.orderedAt = null
        engine.advance(Step.READ_SCHEDULED, now + times.auditReadInterval)
    }

    private fun scan(now: Duration) {
        if (!leases.mayIssue(now)) return
        nextScanAt = now + SCAN_INTERVAL
        if (areTargetsOutdated) updateTargets(now)
        engines.values.filter { it.step != Step.WAITING && it.due <= now }
            .take(MAX_READS_PER_SCAN)
            .forEach { read(it, now) }
        val capacity = PoolCapacity(engines.values) { mayBeChangingRole(it, now) }
        val waiting = engines.values.filter { it.step == Step.WAITING }
        heldEngines = waiting.filterNot { capacity.allows(it) }.map { it.server.id }.toSet()
        waiting.forEach { if (mayOrder(it, capacity, now)) orderOrRead(it, capacity, now) }
    }

    private fun mayOrder(engine: EngineProgress, capacity: PoolCapacity, now: Duration): Boolean =
        (engine.server.checksFencing || leases.areEarlierOrdersSettled(now)) &&
            (engine.pendingLoads == 0 || now >= nextLoadAt) &&
            capacity.allows(engine)

    /**
     * Sends the order if the state was read within [SCAN_INTERVAL]; otherwise reads the state again.
     *
     * Loads are spaced out, so only one of the engines that wait for a load is read at a time.
     */
    private fun orderOrRead(engine: EngineProgress, capacity: PoolCapacity, now: Duration) {
        if (now - engine.readAt > SCAN_INTERVAL) {
            if (engine.pendingLoads > 0 && engineToLoad?.step == Step.READING) return
            if (engine.pendingLoads > 0) engineToLoad = engine
            read(engine, now)
            return
        }
        val id = "${engine.server.id}@${leases.fencingToken}-${nextOrderNumber++}"
        capacity.deductVacated(engine)
        nextLoadAt = maxOf(nextLoadAt, now + times.loadInterval * engine.pendingLoads)
        engine.orderedAt = now
        engine.accepted = false
        engine.advance(Step.ORDERED, now + times.orderTimeout)
        out += ReleaseEffect.SendOrder(engine.server.id, EngineOrder(id, leases.fencingToken, engine.target))
    }

    private fun updateTargets(now: Duration) {
        areTargetsOutdated = false
        val wanted = release.servers.values.filter { it.role != Role.SERVICE && !it.leaving }
        engines.keys.retainAll(wanted.map { it.id }.toSet())
        wanted.forEach { server ->
            val target = release.targetOf(server)
            engines[server.id]?.retarget(server, target, now)
                ?: engines.put(server.id, EngineProgress(server, target))
        }
    }

    private fun read(engine: EngineProgress, now: Duration) {
        engine.advance(Step.READING, now + times.orderTimeout)
        out += ReleaseEffect.ReadState(engine.server.id)
    }

    /** Uses a shorter limit for an order whose answer was lost, so it is repeated sooner than an accepted one. */
    private fun isOrderInFlight(engine: EngineProgress, now: Duration): Boolean {
        val limit = if (engine.accepted) times.roleChangeTimeout else times.orderTimeout
        return engine.orderedAt?.let { now - it < limit } == true
    }

    /** An order of the previous holder may also still be changing an engine that is not at its target. */
    private fun mayBeChangingRole(engine: EngineProgress, now: Duration): Boolean {
        val byPredecessor =
            leases.hadPredecessor && leases.heldSince?.let { now - it < times.roleChangeTimeout } == true
        return engine.orderedAt != null || (byPredecessor && !engine.isReached)
    }

    private fun describe(target: EngineTarget): String = "${target.role} ${target.models.entries.sortedBy {
        it.key.value
    }.joinToString(",") { "${it.key}=${it.value}" }}"

    private companion object {
        val SCAN_INTERVAL: Duration = 500.milliseconds
        const val MAX_READS_PER_SCAN = 64
    }
}
