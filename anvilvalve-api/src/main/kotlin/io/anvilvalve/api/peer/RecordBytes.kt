package io.anvilvalve.api.peer

import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.Serializable
import kotlinx.serialization.cbor.ByteString

/** One encoded log record. */
@OptIn(ExperimentalSerializationApi::class)
@Serializable
class RecordBytes(@ByteString val bytes: ByteArray)
