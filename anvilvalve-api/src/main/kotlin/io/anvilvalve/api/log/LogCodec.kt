package io.anvilvalve.api.log

import arrow.core.Either
import io.anvilvalve.api.BinaryCodec

/** Encodes log records as CBOR. Readers skip a record that does not decode, and every host skips the same records. */
object LogCodec {
    /** Returns the CBOR encoding of [record]. */
    fun encode(record: LogRecord): ByteArray = BinaryCodec.encode(LogRecord.serializer(), record)

    /** Decodes [bytes]; the left side is the reason why they are not a valid record. */
    fun decode(bytes: ByteArray): Either<String, LogRecord> = BinaryCodec.decode(LogRecord.serializer(), bytes)
}
