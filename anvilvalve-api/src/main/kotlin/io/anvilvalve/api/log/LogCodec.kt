package io.anvilvalve.api.log

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.cbor.Cbor
import kotlinx.serialization.decodeFromByteArray
import kotlinx.serialization.encodeToByteArray

/** Encodes log records as CBOR; a record that does not decode is skipped by its reader, the same on every host. */
@OptIn(ExperimentalSerializationApi::class)
object LogCodec {
    private val cbor = Cbor {
        ignoreUnknownKeys = true
        useDefiniteLengthEncoding = true
    }

    /** Encodes [record]. */
    fun encode(record: LogRecord): ByteArray = cbor.encodeToByteArray(record)

    /** Decodes [bytes]; the left side tells why they are no record. */
    fun decode(bytes: ByteArray): Either<String, LogRecord> = try {
        cbor.decodeFromByteArray<LogRecord>(bytes).right()
    } catch (e: IllegalArgumentException) {
        (e.message ?: "not a log record").left()
    }
}
