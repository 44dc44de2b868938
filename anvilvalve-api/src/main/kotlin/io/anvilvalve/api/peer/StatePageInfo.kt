package io.anvilvalve.api.peer

import io.anvilvalve.api.routing.StorePosition
import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.Serializable
import kotlinx.serialization.cbor.CborLabel

/**
 * Part of the entries of backend servers that a message carries: those that changed after [from], in the order of their
 * changes.
 *
 * @property fromOffset offset of [from], of the era [fromEra]; -1 before all entries.
 * @property more whether further pages follow.
 * @property digest digest of all entries that the sender has; null if [more], and while its entries are about to change.
 */
@OptIn(ExperimentalSerializationApi::class)
@Serializable
data class StatePageInfo(
    @CborLabel(1) val fromOffset: Long,
    @CborLabel(2) val fromEra: Long = 0,
    @CborLabel(3) val more: Boolean = false,
    @CborLabel(4) val digest: Long? = null,
) {
    val from: StorePosition get() = StorePosition(fromEra, fromOffset)
}
