package io.anvilvalve.rules.release

import io.anvilvalve.api.id.DataCentreId
import io.anvilvalve.api.id.HostId
import io.anvilvalve.api.id.Incarnation
import io.anvilvalve.api.id.KeyHash
import io.anvilvalve.api.id.ModelId
import io.anvilvalve.api.id.NoteId
import io.anvilvalve.api.id.OrganisationId
import io.anvilvalve.api.id.RegionId
import io.anvilvalve.api.id.RequestId
import io.anvilvalve.api.id.RouteId
import io.anvilvalve.api.log.LogRecord
import io.anvilvalve.api.log.Member
import io.anvilvalve.api.release.Change
import io.anvilvalve.api.release.Model
import io.anvilvalve.api.release.ReleaseNote
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Simulates several hosts that share one log, in virtual time. */
internal class VirtualFleet(
    size: Int,
    var faults: FaultPlan,
    private val random: Random = Random(0),
    private val bug: SeededBug? = null,
) {
    private class Due(val at: Duration, val order: Int, val action: () -> Unit)

    val records = mutableListOf<LogRecord>()
    val checker = CallChecker()
    var now = 1.seconds
        private set
    private val due = mutableListOf<Due>()
    private var order = 0
    private var starts = 0
    private var notes = 0
    private var requests = 0
    private var logDownUntil = Duration.ZERO
    private val hosts = MutableList(size) { start(it) }

    val isLogDown: Boolean get() = now < logDownUntil

    fun outage(length: Duration) {
        logDownUntil = now + length
    }

    fun after(delay: Duration, action: () -> Unit) {
        due += Due(now + delay, order++, action)
    }

    fun appendLater(appended: List<LogRecord>) = after((500 + random.nextInt(9_000)).milliseconds) {
        records +=
            appended
    }

    fun claimRequest(key: String) = ClaimRequest(OrganisationId("o"), RouteId("r"), key, requestDigest = "digest $key")

    fun request(host: Int, key: String): RequestId? {
        val target = hosts[host].takeIf { it.isActive } ?: return null
        val id = RequestId("request-${requests++}")
        target.request(id, claimRequest(key))
        return id
    }

    /** Publishes a note as an operator; a [stale] note expects a release that is no longer in force. */
    fun publish(host: Int, stale: Boolean) {
        val seen = hosts[host].rules.release.number
        val previous = if (stale) io.anvilvalve.api.id.ReleaseNumber(seen.value - 1) else seen
        val change = Change.PutModel(Model(ModelId("m${random.nextInt(3)}"), version = "${notes++}"))
        hosts[host].append(listOf(LogRecord.Note(ReleaseNote(NoteId("note-$notes"), previous, "op", listOf(change)))))
    }

    fun withdraw(host: Int, hash: KeyHash) = hosts[host].reduce(ReleaseEvent.KeyWithdrawalReceived(hash))

    fun broadcastWithdrawal(from: VirtualHost, hash: KeyHash) = hosts.filter { it !== from }.forEach {
        after(VirtualHost.DELAY) { it.reduce(ReleaseEvent.KeyWithdrawalReceived(hash)) }
    }

    fun isRevoked(host: Int, hash: KeyHash): Boolean =
        hosts[host].rules.snapshot().let { hash in it.withdrawnKeys || hash in it.heardWithdrawals }

    fun kill(host: Int) {
        hosts[host].isAlive = false
    }

    /** Replaces an ended process by a new one, which starts from the log or from the snapshot of another host. */
    fun restart(host: Int, fromSnapshot: Boolean) {
        val old = hosts[host].takeUnless { it.isAlive } ?: return
        hosts[host] = start(host)
        if (fromSnapshot) {
            hosts.filter {
                it.isAlive && it !== hosts[host]
            }.randomOrNull(random)?.let(hosts[host]::restore)
        }
        membersChanged()
        hosts.forEach { it.reduce(ReleaseEvent.RemovalEffective(old.incarnation)) }
    }

    fun advance(step: Duration) {
        val until = now + step
        while (true) {
            val next = due.filter { it.at <= until }.minWithOrNull(compareBy({ it.at }, { it.order })) ?: break
            due.remove(next)
            now = maxOf(now, next.at)
            next.action()
        }
        now = until
        hosts.filter { it.isActive }.forEach { it.reduce(ReleaseEvent.Tick(wallMillis = now.inWholeMilliseconds)) }
    }

    fun poll(host: Int, limit: Int = 1_000) = hosts[host].poll(limit)

    /** Stops fault injection and runs the fleet for 60 s, so that all hosts catch up; restarts ended hosts. */
    fun settle() {
        faults = FaultPlan.none
        repeat(300) {
            advance(200.milliseconds)
            hosts.indices.forEach { poll(it) }
            if (it % 50 == 49) hosts.indices.forEach { host -> restart(host, fromSnapshot = it % 100 == 49) }
        }
    }

    /** Sends one more request for [key] without faults and returns its answer. */
    fun probe(key: String): String? {
        val id = hosts.indices.firstNotNullOfOrNull { request(it, key) }
        repeat(50) {
            advance(100.milliseconds)
            hosts.indices.forEach { poll(it) }
        }
        return checker.answers[id]
    }

    /** Returns the requests without an answer whose host is alive. */
    fun unanswered(): List<RequestId> =
        hosts.filter { it.isAlive }.flatMap { it.calls.keys }.filter { it !in checker.answers }

    fun states(): List<ReleaseSnapshot> = hosts.map { it.rules.snapshot() }

    private fun start(host: Int): VirtualHost {
        val started = VirtualHost(Incarnation("host-$host#${starts++}"), this, bug.takeIf { host == 0 })
        started.reduce(ReleaseEvent.Tick(wallMillis = now.inWholeMilliseconds))
        return started
    }

    private fun membersChanged() {
        val members = hosts.map {
            val name = it.incarnation.value
            Member(HostId(name), it.incarnation, "$name:1", DataCentreId("d"), RegionId("r"))
        }
        hosts.forEach { it.reduce(ReleaseEvent.MembersChanged(members, current = true)) }
    }
}
