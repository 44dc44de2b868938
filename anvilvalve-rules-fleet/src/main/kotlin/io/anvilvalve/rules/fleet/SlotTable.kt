package io.anvilvalve.rules.fleet

import io.anvilvalve.api.id.Incarnation
import io.anvilvalve.api.log.LogRecord

/** Owner of each limit slot, derived from the log; the same records give the same table on every host. */
internal class SlotTable(val count: Int) {
    private val owners = arrayOfNulls<Incarnation>(count)

    fun owner(slot: Int): Incarnation? = owners[slot]

    fun ownedBy(incarnation: Incarnation): List<Int> = owners.indices.filter { owners[it] == incarnation }

    /**
     * Applies an assignment slot by slot. A slot keeps its owner if the previous owner in the record is not the current
     * one, or if the current owner is still a member.
     */
    fun assign(record: LogRecord.SlotsAssigned, members: Membership) {
        if (record.owner !in members || record.previous.size != record.slots.size) return
        record.slots.zip(record.previous).forEach { (slot, previous) ->
            val valid = slot in owners.indices && owners[slot] == previous
            if (valid && (previous == null || previous !in members)) owners[slot] = record.owner
        }
    }

    fun release(record: LogRecord.SlotsReleased) {
        record.slots.filter { it in owners.indices && owners[it] == record.owner }.forEach { owners[it] = null }
    }

    /** Frees the slots of an incarnation that is known to have ended. */
    fun free(owner: Incarnation) {
        owners.indices.filter { owners[it] == owner }.forEach { owners[it] = null }
    }

    fun snapshot(): Map<Int, Incarnation> =
        owners.indices.mapNotNull { slot -> owners[slot]?.let { slot to it } }.toMap()

    fun restore(state: Map<Int, Incarnation>) {
        owners.indices.forEach { owners[it] = state[it] }
    }
}
