package io.anvilvalve.api.log

import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.Serializable
import kotlinx.serialization.cbor.ByteString

/** Reply of a call that may not be repeated, kept for repeats; [body] is empty and [truncated] set over 16 KB. */
@OptIn(ExperimentalSerializationApi::class)
@Serializable
class KeptReply(
    val status: Int,
    val contentType: String,
    @ByteString val body: ByteArray,
    val truncated: Boolean = false,
)
