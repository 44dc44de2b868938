package io.anvilvalve.api.peer

import io.anvilvalve.api.id.DataCentreId
import io.anvilvalve.api.routing.StorePosition
import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.Serializable
import kotlinx.serialization.cbor.CborLabel

/**
 * Evacuations of data centres that a host knows.
 *
 * @property era era of the store in which [offset] was read, see [StorePosition].
 * @property offset store offset up to which the evacuations are known.
 * @property records newest known record of each data centre.
 */
@OptIn(ExperimentalSerializationApi::class)
@Serializable
data class EvacuationReport(
    @CborLabel(1) val era: Long,
    @CborLabel(2) val offset: Long,
    @CborLabel(3) val records: List<Record> = emptyList(),
) {
    val position: StorePosition get() = StorePosition(era, offset)

    /**
     * Record at [offset] in the era [era] of the store.
     *
     * @property inForce whether the record evacuates [dataCentre]; false if it revokes the evacuation.
     */
    @Serializable
    data class Record(
        @CborLabel(1) val dataCentre: DataCentreId,
        @CborLabel(2) val era: Long,
        @CborLabel(3) val offset: Long,
        @CborLabel(4) val inForce: Boolean,
    ) {
        val position: StorePosition get() = StorePosition(era, offset)
    }
}
