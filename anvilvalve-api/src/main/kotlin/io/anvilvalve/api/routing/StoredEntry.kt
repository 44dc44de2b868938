package io.anvilvalve.api.routing

import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.Serializable
import kotlinx.serialization.cbor.ByteString
import kotlinx.serialization.cbor.CborLabel

/**
 * Newest record of a key in the store; a null [value] means that the key was removed.
 *
 * @property era era of the store in which [offset] was read, see [StorePosition].
 */
@OptIn(ExperimentalSerializationApi::class)
@Serializable
class StoredEntry(
    @CborLabel(1) val key: String,
    @CborLabel(2) val offset: Long,
    @CborLabel(3) @ByteString val value: ByteArray?,
    @CborLabel(4) val era: Long = 0,
) {
    val position: StorePosition get() = StorePosition(era, offset)
}
