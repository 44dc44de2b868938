package io.anvilvalve.rules.routing

import io.anvilvalve.api.id.DataCentreId
import io.anvilvalve.api.peer.EvacuationReport
import io.anvilvalve.api.result.LogEvent
import io.anvilvalve.api.routing.Backend
import io.anvilvalve.api.routing.StateDecoder
import io.anvilvalve.api.routing.StatePage
import io.anvilvalve.api.routing.StorePosition
import io.anvilvalve.api.routing.StoredEntry

/**
 * Data centres that operators evacuate, as known from the store and from other hosts; their servers get no calls.
 *
 * Of two records of a data centre the one at the later position counts. A record that a complete state of the same era
 * lacks was removed. A record that only the copy lacks from which the store came back was not revoked, so it stays in
 * force: a data centre that is evacuated too long costs capacity, one that is used too early breaks a promise.
 */
internal class Evacuations(
    private val out: Outbox,
    private val decoder: StateDecoder,
    private val ended: (DataCentreId) -> Unit = {},
) : ServerRule {
    private val records = LinkedHashMap<DataCentreId, EvacuationReport.Record>()
    private var position = StorePosition.NONE

    /** What this host knows, for other hosts; null before it knows anything. */
    val report: EvacuationReport?
        get() = position.takeIf { it != StorePosition.NONE }
            ?.let { EvacuationReport(it.era, it.offset, records.values.toList()) }

    override fun allows(server: Backend, need: PlacementNeed?): Boolean = records[server.dataCentre]?.inForce != true

    /** Applies the evacuations in [page] of the configuration's topic; returns whether an evacuation began or ended. */
    fun apply(page: StatePage): Boolean =
        apply(page.entries.mapNotNull(::decode), page.complete, page.next, source = "store")

    /** Applies what another host knows; returns whether an evacuation began or ended. */
    fun apply(report: EvacuationReport): Boolean =
        apply(report.records, complete = true, report.position, source = "peer")

    private fun apply(
        read: List<EvacuationReport.Record>,
        complete: Boolean,
        next: StorePosition,
        source: String,
    ): Boolean {
        var changed = false
        for (record in read) changed = put(record, source) || changed
        if (complete) {
            val present = read.mapTo(HashSet()) { it.dataCentre }
            // A read that lags behind the record says nothing about it.
            val removed = records.values.filter {
                it.inForce && it.dataCentre !in present && it.era == next.era && it.position < next
            }
            for (record in removed) {
                val revocation = record.copy(era = next.era, offset = next.offset, inForce = false)
                changed = put(revocation, source) || changed
            }
        }
        position = maxOf(position, next)
        return changed
    }

    private fun put(record: EvacuationReport.Record, source: String): Boolean {
        val last = records[record.dataCentre]
        if (last != null && record.position <= last.position) return false
        records.remove(record.dataCentre)
        records[record.dataCentre] = record
        forgetRevocations()
        if (record.inForce == (last?.inForce == true)) return false
        out.log(
            if (record.inForce) LogEvent.EVACUATION_STARTED else LogEvent.EVACUATION_ENDED,
            "data_centre" to record.dataCentre,
            "position" to record.position,
            "from" to source,
        )
        if (!record.inForce) ended(record.dataCentre)
        return true
    }

    /** Revocations are kept so that older word of another host does not undo them. */
    private fun forgetRevocations() {
        val revoked = records.values.filterNot { it.inForce }
        revoked.take((revoked.size - MAX_REVOCATIONS).coerceAtLeast(0)).forEach { records.remove(it.dataCentre) }
    }

    private fun decode(entry: StoredEntry): EvacuationReport.Record? = decoder.evacuatedDataCentre(entry.key)?.let {
        EvacuationReport.Record(it, entry.era, entry.offset, inForce = entry.value?.isNotEmpty() == true)
    }

    private companion object {
        /** More than the data centres of a deployment; bounds the messages if operators write keys without end. */
        const val MAX_REVOCATIONS = 32
    }
}
