package io.anvilvalve.rules.scheduling

import io.anvilvalve.api.id.RequestId

/** The latest attempt of each request, including attempts that ended within [SchedulingSettings.endedRetention]. */
internal class WorkTable(private val settings: SchedulingSettings) {
    private val byRequest = HashMap<RequestId, Work>()
    private val live = LinkedHashSet<Work>()
    private val retained = ArrayDeque<Pair<Long, Work>>()
    private var checkedAt = 0L

    operator fun get(id: RequestId): Work? = byRequest[id]

    fun put(work: Work) {
        byRequest[work.item.id] = work
        if (!work.ended) live.add(work)
    }

    fun live(): List<Work> = live.toList()

    /** Marks [work] as ended and keeps it for [SchedulingSettings.endedRetention]. */
    fun markEnded(work: Work, now: Long) {
        work.state = Work.State.ENDED
        live.remove(work)
        retained.addLast(now + settings.endedRetention.inWholeMicroseconds to work)
        while (retained.first().first < now) {
            val old = retained.removeFirst().second
            byRequest.remove(old.item.id, old)
        }
    }

    /** Placed attempts whose origin has reported no progress within the timeout; checked at most once a second. */
    fun timedOut(now: Long): List<Work> {
        if (now - checkedAt < CHECK_MICROS) return emptyList()
        checkedAt = now
        return live.filter { it.placed != null && now - it.lastProgressAt > timeout(it) }
    }

    private fun timeout(work: Work): Long =
        (if (work.started) settings.progressTimeout else settings.startTimeout).inWholeMicroseconds

    private companion object {
        const val CHECK_MICROS = 1_000_000L
    }
}
