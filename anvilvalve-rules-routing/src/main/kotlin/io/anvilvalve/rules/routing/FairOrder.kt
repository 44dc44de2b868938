package io.anvilvalve.rules.routing

import io.anvilvalve.api.id.OrganisationId
import java.util.PriorityQueue
import java.util.TreeSet
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * Order of the waiting requests of one service and urgency: start-time fair queueing over organisations.
 *
 * Each organisation has a tag that grows by the cost of what is placed for it, divided by its weight. The organisation
 * with the lowest tag is next. One that was idle starts at the present virtual time, so it neither has credit for the
 * past nor pays for capacity that nobody else wanted. One whose waiting requests are all late counts as idle until they
 * are due, because others may still meet their objectives with the capacity.
 */
internal class FairOrder(private val weightOf: (OrganisationId?) -> Double) {
    private class Account(val organisation: OrganisationId?, val number: Int, var weight: Double) {
        val queue = OrganisationQueue()
        val usage = DecayingSum(USAGE_TIME)

        /** Recently placed work, and the part of it that was late. */
        val recent = DecayingSum(RECENT_TIME)
        val recentLate = DecayingSum(RECENT_TIME)
        var tag = 0.0

        /** Time up to which refused callers have been told to come back. */
        var promisedUntil = Duration.ZERO
    }

    private class Cursor(val account: Account, val entries: Iterator<QueueEntry>)

    private val accounts = HashMap<OrganisationId?, Account>()
    private val active = TreeSet(compareBy<Account>({ it.tag }, { it.number }))

    /** Entries of callers that came back after a refusal, by the time at which their wait must end. */
    private val returned = TreeSet(compareBy<QueueEntry>({ it.latestStartAt }, { it.number }))
    private val usage = DecayingSum(USAGE_TIME)
    private var virtualTime = 0.0
    private var accountCount = 0

    /** Placements out of turn that returned callers may have now. */
    private var lastCalls = 0.0

    /** Sum of the work of all entries. */
    var work = 0L
        private set

    val isEmpty: Boolean get() = active.isEmpty()

    /** Number of organisations with waiting requests or a tag or usage that still matters. */
    val accountSize: Int get() = accounts.size

    fun add(entry: QueueEntry, now: Duration) {
        val account = account(entry.request.organisationId)
        if (account.queue.isEmpty) account.weight = weightOf(account.organisation)
        val wasIdle = account.queue.isDeferred(now)
        active.remove(account)
        account.queue.add(entry, now)
        if (wasIdle && !account.queue.isDeferred(now)) account.tag = maxOf(account.tag, virtualTime)
        active.add(account)
        work += entry.work
        if (entry.request.isCallerRetry) returned.add(entry)
    }

    /** Removes [entry] without a charge to its organisation. */
    fun remove(entry: QueueEntry) {
        val account = accounts[entry.request.organisationId] ?: return
        if (!account.queue.remove(entry)) return
        work -= entry.work
        returned.remove(entry)
        if (account.queue.isEmpty) active.remove(account)
    }

    /** Removes [entry], which has been placed at [now], and charges its organisation. */
    fun placed(entry: QueueEntry, now: Duration) {
        val account = accounts[entry.request.organisationId] ?: return
        val outOfTurn = isLastCall(entry, now)
        remove(entry)
        active.remove(account)
        if (!outOfTurn) virtualTime = maxOf(virtualTime, account.tag)
        account.tag += entry.work / account.weight
        if (!account.queue.isEmpty) active.add(account)
        account.queue.placed(isLate(entry, now))
        account.recent.add(entry.work.toDouble(), now)
        if (isLate(entry, now)) account.recentLate.add(entry.work.toDouble(), now)
        account.usage.add(entry.work.toDouble(), now)
        usage.add(entry.work.toDouble(), now)
        lastCalls = if (outOfTurn) lastCalls - 1 else minOf(lastCalls + EARNED_LAST_CALLS, MAX_LAST_CALLS)
    }

    /** The entry to place next at [now]; null if there is none. */
    fun head(now: Duration): QueueEntry? = when {
        active.isEmpty() -> null
        returned.isNotEmpty() && isLastCall(returned.first(), now) -> returned.first()
        else -> (active.firstOrNull { !it.queue.isDeferred(now) } ?: active.first()).queue.head(now)
    }

    /** See [OrganisationQueue.keepTurn]. */
    fun keepTurn(entry: QueueEntry) = accounts[entry.request.organisationId]?.queue?.keepTurn(entry)

    /** The next entry of every organisation that waits. */
    fun heads(now: Duration): Sequence<QueueEntry> = active.asSequence().mapNotNull { it.queue.head(now) }

    /** All entries in the order in which they are placed if none is added; must not be used after a change. */
    fun inOrder(now: Duration): Sequence<QueueEntry> = sequence {
        val tags = active.associateWithTo(HashMap()) { it.tag }
        yieldMerged(tags) { it.promptInOrder(now) }
        yieldMerged(tags) { it.lateInOrder(now) }
    }

    /** Yields the [entries] of all accounts by their [tags], which grow as if the entries were placed. */
    private suspend fun SequenceScope<QueueEntry>.yieldMerged(
        tags: MutableMap<Account, Double>,
        entries: (OrganisationQueue) -> Sequence<QueueEntry>,
    ) {
        val cursors = PriorityQueue(compareBy<Cursor>({ tags.getValue(it.account) }, { it.account.number }))
        active.map { Cursor(it, entries(it.queue).iterator()) }.filterTo(cursors) { it.entries.hasNext() }
        while (true) {
            val cursor = cursors.poll() ?: break
            val entry = cursor.entries.next()
            yield(entry)
            tags.merge(cursor.account, entry.work / cursor.account.weight, Double::plus)
            if (cursor.entries.hasNext()) cursors.add(cursor)
        }
    }

    /** Sets the [organisations] with late entries that would miss their limits if they still waited for all others. */
    fun setLateDue(organisations: Set<OrganisationId?>, now: Duration) = active.toList().forEach {
        val wasIdle = it.queue.isDeferred(now)
        it.queue.isLateDue = it.organisation in organisations
        if (!wasIdle || it.queue.isDeferred(now)) return@forEach
        active.remove(it)
        it.tag = maxOf(it.tag, virtualTime)
        active.add(it)
    }

    /** Work that is placed before [entry], which need not be queued. */
    fun workBefore(entry: QueueEntry, now: Duration): Long {
        val own = accounts[entry.request.organisationId]
        val before = own?.queue?.workBefore(entry, now) ?: 0
        val weight = own?.weight ?: weightOf(entry.request.organisationId)
        val turn = maxOf(own?.tag ?: 0.0, virtualTime) + before / weight
        return before + workUntil(turn, own, now, isLate(entry, now))
    }

    /**
     * Work that is placed before a request of an organisation that was idle; null if no organisation but that of
     * [request] waits.
     */
    fun workBeforeNewcomer(request: QueuedRequest, now: Duration): Long? {
        if (active.all { it.organisation == request.organisationId }) return null
        return workUntil(virtualTime, null, now, isLate = false)
    }

    /** Work of returned callers whose wait must end before that of [entry]. */
    fun returnedWorkBefore(entry: QueueEntry): Long = returned.headSet(entry).sumOf { it.work.toLong() }

    /**
     * Reserves the next part of the share of [organisation] for a caller that is refused at [now] and comes back;
     * returns the time until then. [unit] is the time that the whole service takes for one unit of work.
     */
    fun promise(organisation: OrganisationId?, work: Int, unit: Duration, now: Duration): Duration {
        val account = account(organisation)
        val others = active.sumOf { if (it === account) 0.0 else it.weight }
        val need = unit * (work * (account.weight + others) / account.weight)
        val until = maxOf(account.promisedUntil, now) + need
        account.promisedUntil = minOf(until, now + LONGEST_PROMISE)
        return until - now
    }

    /**
     * Factor by which the wait of [entry] is longer than the queue tells, because requests that arrive later go before
     * it: those that can meet their objective go before late ones.
     */
    fun delayFactor(entry: QueueEntry, now: Duration): Double {
        val account = accounts[entry.request.organisationId]
        if (account == null || !isLate(entry, now)) return 1.0
        val recent = account.recent.at(now)
        return if (recent <= 0) 1.0 else 1 / maxOf(account.recentLate.at(now) / recent, LEAST_LATE_SHARE)
    }

    /** Part of the work recently placed that was for [organisation], between 0 and 1. */
    fun share(organisation: OrganisationId?, now: Duration): Double {
        val all = usage.at(now)
        return if (all <= 0) 0.0 else (accounts[organisation]?.usage?.at(now) ?: 0.0) / all
    }

    /** Forgets organisations whose tags and recent usage make no difference any more. */
    fun forgetIdle(now: Duration) {
        accounts.values.removeIf {
            it.queue.isEmpty && it.tag <= virtualTime && it.promisedUntil <= now && it.usage.at(now) < NEGLIGIBLE_WORK
        }
    }

    /** Work of all organisations but [own] that is placed before an entry that [isLate] and is next at [turn]. */
    private fun workUntil(turn: Double, own: Account?, now: Duration, isLate: Boolean): Long {
        var sum = 0L
        for (other in active) {
            if (other.tag > turn) break
            if (other === own) continue
            val head = other.queue.head(now)?.work ?: 0
            sum += minOf(other.queue.workInTurn(now, isLate), ((turn - other.tag) * other.weight).toLong() + head)
        }
        return sum
    }

    private fun isLate(entry: QueueEntry, now: Duration) = !entry.request.isCallerRetry && entry.lateAt <= now

    private fun isLastCall(entry: QueueEntry, now: Duration) =
        entry.request.isCallerRetry && lastCalls >= 1 && entry.latestStartAt - now < LAST_CALL_TIME

    private fun account(organisation: OrganisationId?) =
        accounts.getOrPut(organisation) { Account(organisation, ++accountCount, weightOf(organisation)) }

    companion object {
        /** One placement in four may be out of turn, so that returned callers of one organisation cannot take all. */
        const val LAST_CALL_SHARE = 0.25
        private const val EARNED_LAST_CALLS = LAST_CALL_SHARE / (1 - LAST_CALL_SHARE)
        private const val MAX_LAST_CALLS = 4.0

        /** A returned caller whose wait must end within this time may go out of turn; several placements fit in it. */
        private val LAST_CALL_TIME = 250.milliseconds

        /** Callers wait for a third of their time at most, so a later promise would not be heeded. */
        private val LONGEST_PROMISE = 5_000.milliseconds

        /** Bursts last some seconds; the share that an operator reads should show the present one. */
        private val USAGE_TIME = 5_000.milliseconds

        /** Late requests are refused when they would wait in vain, so the time must be short beside the deadlines. */
        private val RECENT_TIME = 1_000.milliseconds

        /**
         * An organisation that places fewer late requests is assumed to place this share of them. It is less than
         * [OrganisationQueue.LATE_SHARE], which they have only while they are due. With 0.5, engines with prompts of very
         * unequal length kept requests so long that a third of the long ones met the objective.
         */
        private const val LEAST_LATE_SHARE = 0.4
        private const val NEGLIGIBLE_WORK = 0.01
    }
}
