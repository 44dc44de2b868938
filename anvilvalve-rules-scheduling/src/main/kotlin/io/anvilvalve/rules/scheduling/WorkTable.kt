package io.anvilvalve.rules.scheduling

import io.anvilvalve.api.id.RequestId

/** The last attempt of each request, including attempts that ended recently. */
internal class WorkTable(private val settings: SchedulingSettings) {
    private val works = HashMap<RequestId, Work>()
    private val live = LinkedHashSet<Work>()
    private val forgetting = ArrayDeque<Pair<Long, Work>>()
    private var checkedAt = 0L

    operator fun get(id: RequestId): Work? = works[id]

    fun put(work: Work) {
        works[work.item.id] = work
        if (!work.ended) live.add(work)
    }

    fun live(): List<Work> = live.toList()

    /** Marks [work] as ended and remembers it for a while. */
    fun ended(work: Work, now: Long) {
        work.state = Work.State.ENDED
        live.remove(work)
        forgetting.addLast(now + settings.memory.inWholeMicroseconds to work)
        while (forgetting.first().first < now) {
            val old = forgetting.removeFirst().second
            works.remove(old.item.id, old)
        }
    }

    /** Placed attempts whose origin has fallen silent; checked once a second. */
    fun expired(now: Long): List<Work> {
        if (now - checkedAt < CHECK_MICROS) return emptyList()
        checkedAt = now
        return live.filter { it.placed != null && now - it.lastProgressAt > timeout(it) }
    }

    private fun timeout(work: Work): Long =
        (if (work.started) settings.silenceTimeout else settings.startTimeout).inWholeMicroseconds

    private companion object {
        const val CHECK_MICROS = 1_000_000L
    }
}
