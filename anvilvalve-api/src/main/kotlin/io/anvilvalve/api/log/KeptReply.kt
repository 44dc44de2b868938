package io.anvilvalve.api.log

import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.Serializable
import kotlinx.serialization.cbor.ByteString

/**
 * Stored reply of a call that may not be repeated; it answers further requests with the same idempotency key.
 *
 * @property truncated whether [body] is empty because the reply exceeded 16 KB, its body was dropped to free memory, or
 * the outcome of the call is unknown.
 */
@OptIn(ExperimentalSerializationApi::class)
@Serializable
class KeptReply(
    val status: Int,
    val contentType: String,
    @ByteString val body: ByteArray,
    val truncated: Boolean = false,
)
