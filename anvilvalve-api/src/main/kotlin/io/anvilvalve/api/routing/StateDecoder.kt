package io.anvilvalve.api.routing

import arrow.core.Either

/** Decodes values of the store; the left side is the reason why a value is invalid. */
interface StateDecoder {
    fun configuration(value: ByteArray): Either<String, RoutingConfiguration>

    fun backend(key: String, value: ByteArray): Either<String, Backend>

    /** Revision of the entry of a backend server. */
    fun revision(value: ByteArray): Either<String, BackendRevision>
}
