package io.anvilvalve.api.routing

import arrow.core.Either
import io.anvilvalve.api.id.DataCentreId

/** Decodes values of the store; the left side is the reason why a value is invalid. */
interface StateDecoder {
    fun configuration(value: ByteArray): Either<String, RoutingConfiguration>

    /** Data centre that the record [key] in the topic of the configuration evacuates; null for any other record. */
    fun evacuatedDataCentre(key: String): DataCentreId? = null

    fun backend(key: String, value: ByteArray): Either<String, Backend>

    /** Entry of a backend server without what [backend] and [revision] do not read. */
    fun shortened(value: ByteArray): Either<String, ByteArray> = Either.Right(value)

    /** Revision of the entry of a backend server. */
    fun revision(value: ByteArray): Either<String, BackendRevision>
}
