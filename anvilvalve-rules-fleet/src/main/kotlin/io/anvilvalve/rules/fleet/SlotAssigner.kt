package io.anvilvalve.rules.fleet

import io.anvilvalve.api.id.Incarnation
import io.anvilvalve.api.log.LogRecord
import io.anvilvalve.api.log.Member
import kotlin.random.Random
import kotlin.time.Duration

/** Decides which slots this host acquires and releases, and spreads the appends of the hosts over time. */
internal class SlotAssigner(
    private val self: Member,
    private val slots: SlotTable,
    private val view: Membership,
    private val times: FleetTimes,
    private val random: Random,
) {
    private val freeSince = HashMap<Int, Duration>()
    private val releasedAt = HashMap<Int, Duration>()
    private val releasing = HashSet<Int>()
    private var nextAppend: Duration? = null
    private var nextCheck = Duration.ZERO

    /** Slots that this host refills: owned according to the log and not being released. */
    var refilled: Set<Int> = emptySet()
        private set

    /** Updates the state from the slot table; a slot is no longer refilled once its release has been appended. */
    fun tableChanged(now: Duration) {
        val released = releasing.filter { slots.owner(it) != self.incarnation }
        releasing.removeAll(released.toSet())
        released.forEach { releasedAt[it] = now }
        // A late copy of an assignment may assign a released slot again, and a late copy of the release may follow.
        releasing += slots.ownedBy(self.incarnation).filter { wasRecentlyReleased(it, now) }
        freeSince.keys.removeIf { !isFree(it) }
        refilled = slots.ownedBy(self.incarnation).filter { it !in releasing }.toSet()
    }

    /** Returns the record to append at [now], or null; called while the host is current and the log can be read. */
    fun next(now: Duration): LogRecord? {
        if (now < nextCheck) return null
        nextCheck = now + times.slotCheckInterval
        val record = neededRecord(now)
        if (record == null) {
            nextAppend = null
            return null
        }
        val due = nextAppend
        if (due == null) nextAppend = now + times.appendJitter * random.nextDouble()
        if (due == null || now < due) return null
        nextAppend = now + times.appendRetry + times.appendJitter * random.nextDouble()
        if (record is LogRecord.SlotsReleased) releasing += record.slots
        return record
    }

    /** Returns the record that releases all owned slots, or null; it is repeated until it is read from the log. */
    fun releaseAll(now: Duration, append: Boolean): LogRecord? {
        val owned = slots.ownedBy(self.incarnation)
        releasing += owned
        if (owned.isEmpty() || !append || nextAppend.let { it != null && now < it }) return null
        nextAppend = now + times.appendRetry
        return LogRecord.SlotsReleased(owned, self.incarnation)
    }

    private fun neededRecord(now: Duration): LogRecord? {
        if (releasing.isNotEmpty()) return LogRecord.SlotsReleased(releasing.sorted(), self.incarnation)
        val free = (0 until slots.count).filter(::isFree)
        free.forEach { freeSince.getOrPut(it) { now } }
        val wanted = if (free.isEmpty()) emptyList() else slotsToAcquire(free, now)
        if (wanted.isNotEmpty()) return LogRecord.SlotsAssigned(wanted, self.incarnation, wanted.map(slots::owner))
        val excess = if (free.isEmpty()) excess() else emptyList()
        return if (excess.isEmpty()) null else LogRecord.SlotsReleased(excess, self.incarnation)
    }

    private fun isFree(slot: Int): Boolean {
        val owner = slots.owner(slot) ?: return true
        return owner !in view && !view.isBeingRemoved(owner)
    }

    /** Free slots for this host to acquire: those planned for it, and those that their planned owner left too long. */
    private fun slotsToAcquire(free: List<Int>, now: Duration): List<Int> {
        val slotCounts = slotCounts()
        val quota = (slots.count + view.members.size - 1) / view.members.size
        val wanted = mutableListOf<Int>()
        for (slot in free) {
            val planned = view.members.filter { slotCounts.getValue(it.incarnation) < quota }
                .maxByOrNull { Rendezvous.weight(it.host.value, slot.toLong()) } ?: self
            val newOwner = if (isAbandoned(slot, slotCounts.getValue(self.incarnation) < quota, now)) self else planned
            slotCounts.merge(newOwner.incarnation, 1, Int::plus)
            if (newOwner.incarnation == self.incarnation) wanted += slot
        }
        return wanted.filterNot { wasRecentlyReleased(it, now) }
    }

    /** Whether the planned owner failed to acquire [slot] in time; hosts [belowQuota] wait half as long as others. */
    private fun isAbandoned(slot: Int, belowQuota: Boolean, now: Duration): Boolean {
        val waited = now - freeSince.getValue(slot)
        return waited > times.slotTakeoverDelay * (if (belowQuota) 1 else 2)
    }

    private fun wasRecentlyReleased(slot: Int, now: Duration): Boolean =
        releasedAt[slot]?.let { now - it < times.slotReacquireDelay } == true

    /**
     * Slots to release for members that own far fewer than an equal number. Small differences remain: the bucket of a
     * moved slot is empty for some seconds, and its old owner cannot reacquire it for [FleetTimes.slotReacquireDelay].
     */
    private fun excess(): List<Int> {
        val slotCounts = slotCounts()
        val fairCount = slots.count / view.members.size
        val minimum = fairCount - maxOf(1, fairCount / TOLERANCE_DIVISOR)
        var missing = slotCounts.values.filter { it < minimum }.sumOf { fairCount - it }
        var releaseCount = 0
        while (missing > 0) {
            val largest = slotCounts.entries.sortedBy { it.key.value }.maxBy { it.value }
            if (largest.value <= fairCount) break
            largest.setValue(largest.value - 1)
            if (largest.key == self.incarnation) releaseCount++
            missing--
        }
        return slots.ownedBy(self.incarnation)
            .sortedBy { Rendezvous.weight(self.host.value, it.toLong()) }
            .take(releaseCount)
    }

    private fun slotCounts(): MutableMap<Incarnation, Int> {
        val slotCounts = view.members.associateTo(HashMap()) { it.incarnation to 0 }
        for (slot in 0 until slots.count) {
            val owner = slots.owner(slot)
            if (owner != null && owner in slotCounts) slotCounts.merge(owner, 1, Int::plus)
        }
        return slotCounts
    }

    private companion object {
        /** A member may own fewer slots than an equal number by up to 1/4 of that number, or by one if that is more. */
        const val TOLERANCE_DIVISOR = 4
    }
}
