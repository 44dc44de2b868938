package io.anvilvalve.api.log

import arrow.core.Either
import io.anvilvalve.api.BinaryCodec

/** Encodes log records as CBOR; a record that does not decode is skipped by its reader, the same on every host. */
object LogCodec {
    /** Encodes [record]. */
    fun encode(record: LogRecord): ByteArray = BinaryCodec.encode(LogRecord.serializer(), record)

    /** Decodes [bytes]; the left side tells why they are no record. */
    fun decode(bytes: ByteArray): Either<String, LogRecord> = BinaryCodec.decode(LogRecord.serializer(), bytes)
}
