package io.anvilvalve.rules.routing

import java.util.TreeSet
import kotlin.time.Duration

/**
 * Waiting requests of one organisation for one service and urgency.
 *
 * Callers that have come back after a refusal go first, the longest known before others. Then follow requests that can
 * meet their objective, and those that cannot, each by the time at which their wait must end. While late entries are due,
 * they have every second placement of the newcomers, see [LATE_SHARE].
 */
internal class OrganisationQueue {
    private val returned = TreeSet(compareBy<QueueEntry>({ it.request.firstTriedAt }, { it.number }))
    private val punctual = TreeSet(compareBy<QueueEntry>({ it.lateAt }, { it.number }))
    private val late = TreeSet(compareBy<QueueEntry>({ it.latestStartAt }, { it.number }))

    /** The entry whose turn it was while there was no room for it; null if there is none. */
    private var next: QueueEntry? = null

    /** Sum of the work of all entries. */
    var work = 0L
        private set
    private var lateWork = 0L

    /** Number of late entries that have been late from the start, for example because of the length of their prompts. */
    private var alwaysLateCount = 0
    private var lastPlacedWasLate = false

    /** Whether late entries would miss their limits if they still waited for all others. */
    var isLateDue = false

    val isEmpty: Boolean get() = returned.isEmpty() && punctual.isEmpty() && late.isEmpty()

    fun add(entry: QueueEntry, now: Duration) {
        val set = setOf(entry, now)
        if (!set.add(entry)) return
        work += entry.work
        if (set === late) countLate(entry, 1)
    }

    /** Removes [entry]; returns whether it was queued here. */
    fun remove(entry: QueueEntry): Boolean {
        val wasLate = late.remove(entry)
        if (wasLate) countLate(entry, -1)
        val removed = wasLate || returned.remove(entry) || punctual.remove(entry)
        if (removed) work -= entry.work
        if (entry === next) next = null
        return removed
    }

    /** Records that an entry has been placed that [wasLate]. */
    fun placed(wasLate: Boolean) {
        lastPlacedWasLate = wasLate
    }

    /**
     * Whether there are only late entries, if any, which can wait until those of other organisations have been placed.
     * Entries that have been late from the start cannot, because they would always be served last.
     */
    fun isDeferred(now: Duration): Boolean {
        demoteLate(now)
        val mayWait = late.isEmpty() || (!isLateDue && alwaysLateCount == 0)
        return next == null && returned.isEmpty() && punctual.isEmpty() && mayWait
    }

    /** Work that is placed before a punctual entry of another organisation with a later turn; of any if [withLate]. */
    fun workInTurn(now: Duration, withLate: Boolean): Long {
        demoteLate(now)
        return if (withLate || isLateDue || alwaysLateCount > 0) work else work - lateWork
    }

    /** The entry to place next at [now]; null if there is none. */
    fun head(now: Duration): QueueEntry? {
        demoteLate(now)
        val dueLate = if (isLateDue && !lastPlacedWasLate) firstOrNull(late) else null
        return next ?: firstOrNull(returned) ?: dueLate ?: firstOrNull(punctual) ?: firstOrNull(late)
    }

    /**
     * Lets [entry], whose turn it is, be the next one until it is placed or removed. Otherwise smaller requests that
     * come later and can still meet their objective would starve a large one that has become late.
     */
    fun keepTurn(entry: QueueEntry) {
        if (next == null) next = entry
    }

    /** The entries that wait for no other organisation, in the order in which they are placed, as of [now]. */
    fun promptInOrder(now: Duration): Sequence<QueueEntry> {
        demoteLate(now)
        return listOfNotNull(next).asSequence() + (returned.asSequence() + punctual).filter { it !== next }
    }

    /** The late entries in the order in which they are placed, as of [now]. */
    fun lateInOrder(now: Duration): Sequence<QueueEntry> {
        demoteLate(now)
        return late.asSequence().filter { it !== next }
    }

    /** Work that is placed before [entry], which need not be queued. */
    fun workBefore(entry: QueueEntry, now: Duration): Long {
        demoteLate(now)
        val own = setOf(entry, now)
        return when {
            own === returned -> workOf(returned.headSet(entry))
            own === punctual -> workOf(returned) + workOf(punctual.headSet(entry))
            else -> work - workOf(late.tailSet(entry))
        }
    }

    private fun setOf(entry: QueueEntry, now: Duration) = when {
        entry.request.isCallerRetry -> returned
        entry.lateAt > now -> punctual
        else -> late
    }

    private fun demoteLate(now: Duration) {
        while (punctual.isNotEmpty() && punctual.first().lateAt <= now) {
            val entry = punctual.pollFirst()
            late.add(entry)
            countLate(entry, 1)
        }
    }

    private fun firstOrNull(set: TreeSet<QueueEntry>) = if (set.isEmpty()) null else set.first()

    private fun countLate(entry: QueueEntry, change: Int) {
        lateWork += entry.work * change
        if (!entry.couldBePunctual) alwaysLateCount += change
    }

    private fun workOf(entries: Collection<QueueEntry>) = entries.sumOf { it.work.toLong() }

    companion object {
        /**
         * Share of the placements of newcomers that late ones have while they are due. In a trial with 0.3, an organisation at
         * 6 times its usual load had so many of them refused that those who came back made others late.
         */
        const val LATE_SHARE = 0.5
    }
}
