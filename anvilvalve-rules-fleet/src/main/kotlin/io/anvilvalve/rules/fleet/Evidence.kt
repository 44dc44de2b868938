package io.anvilvalve.rules.fleet

import io.anvilvalve.api.id.Incarnation
import io.anvilvalve.api.id.LogOffset
import kotlin.time.Duration

/** Evidence that this host has the current state of the log: its own log reads and the replies to its probes. */
internal class Evidence(private val self: Incarnation, private val times: FleetTimes, private val view: Membership) {
    private val probeSentAt = LinkedHashMap<Long, Duration>()
    private val answeredProbe = HashMap<Incarnation, Duration>()
    private var lastRead: Duration? = null
    private var newestReportedMembership = LogOffset(-1)

    /** Whether the last call to the log succeeded. */
    var logReadable: Boolean = false
        private set

    /** Whether this host has read the log to its end at least once. */
    val hasReadLog: Boolean get() = lastRead != null

    fun tailReached(sentAt: Duration) {
        logReadable = true
        if (lastRead.let { it == null || it < sentAt }) lastRead = sentAt
    }

    fun logFailed() {
        logReadable = false
    }

    fun probeSent(id: Long, now: Duration) {
        probeSentAt[id] = now
        probeSentAt.values.removeIf { now - it > times.freshness }
    }

    /** Records the [membership] offset of a peer; while it is newer than that of this host, replies do not count. */
    fun membershipReported(membership: LogOffset) {
        if (membership > newestReportedMembership) newestReportedMembership = membership
    }

    /** Dates a reply by the sending time of its probe, because a reply may be delayed by any amount of time. */
    fun probeAnswered(from: Incarnation, id: Long) {
        val sentAt = probeSentAt[id] ?: return
        val known = answeredProbe[from]
        if (known == null || known < sentAt) answeredProbe[from] = sentAt
    }

    fun forget(incarnation: Incarnation) {
        answeredProbe.remove(incarnation)
    }

    /** Sending time of the latest probe that [incarnation] has answered. */
    fun lastAnsweredProbe(incarnation: Incarnation): Duration? = answeredProbe[incarnation]

    /** Whether this host and the members that answered probes sent within the freshness time form a majority. */
    fun hasMajority(now: Duration): Boolean = majorityUntil()?.let { it >= now } == true

    /** Time until which the evidence collected up to [now] keeps the host current; null without evidence. */
    fun validUntil(now: Duration): Duration? {
        val read = lastRead
        if (read == null || self !in view) return null
        val byRead = read + times.freshness
        if (byRead >= now || newestReportedMembership > view.offset) return byRead
        val byMajority = majorityUntil()?.let { minOf(it, read + times.maxLogOutage) }
        return if (byMajority == null) byRead else maxOf(byRead, byMajority)
    }

    private fun majorityUntil(): Duration? {
        val needed = view.members.size / 2
        if (needed == 0) return Duration.INFINITE
        val sentTimes = view.members.mapNotNull { m -> answeredProbe[m.incarnation].takeIf { m.incarnation != self } }
        if (sentTimes.size < needed) return null
        return sentTimes.sortedDescending()[needed - 1] + times.freshness
    }
}
