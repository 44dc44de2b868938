package io.anvilvalve.api

import arrow.core.Either
import kotlinx.serialization.DeserializationStrategy
import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.SerializationStrategy
import kotlinx.serialization.cbor.Cbor

/** CBOR for log records, peer frames and snapshots; unknown fields are ignored so that versions can coexist. */
@OptIn(ExperimentalSerializationApi::class)
object BinaryCodec {
    private val cbor = Cbor {
        ignoreUnknownKeys = true
        useDefiniteLengthEncoding = true
        // Integer labels instead of field names halve the size of the frames between hosts.
        preferCborLabelsOverNames = true
    }

    /** Returns the CBOR encoding of [value]. */
    fun <T> encode(serializer: SerializationStrategy<T>, value: T): ByteArray =
        cbor.encodeToByteArray(serializer, value)

    /**
     * Decodes [bytes]; the left side is the reason why they cannot be decoded.
     *
     * Every exception is caught because the CBOR reader throws several unrelated types on damaged input, among them
     * IllegalStateException at an early end.
     */
    fun <T> decode(serializer: DeserializationStrategy<T>, bytes: ByteArray): Either<String, T> =
        Either.catch { cbor.decodeFromByteArray(serializer, bytes) }.mapLeft { it.message ?: it.javaClass.simpleName }
}
