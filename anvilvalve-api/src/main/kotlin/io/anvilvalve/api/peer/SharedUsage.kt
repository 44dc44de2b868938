package io.anvilvalve.api.peer

import io.anvilvalve.api.id.OrganisationId
import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.Serializable
import kotlinx.serialization.cbor.CborLabel

/**
 * Usage of an organisation as reported by one host.
 *
 * @property admitted tokens that this host has admitted since its count began, less [released].
 * @property known tokens that all hosts admitted in the last window, as far as the host knows.
 * @property recent tokens that this host admitted in the last window; null in totals, and from hosts that do not send
 *   it.
 * @property released tokens of admitted requests that were not executed, since the count began; never decreases.
 * @property releasedTokenMillis tokens in [released], each times the milliseconds from its admission to its release.
 * @property countsTokens whether the usage is in tokens; otherwise it is in requests.
 */
@OptIn(ExperimentalSerializationApi::class)
@Serializable
data class SharedUsage(
    @CborLabel(1) val organisation: OrganisationId,
    @CborLabel(2) val admitted: Long,
    @CborLabel(3) val known: Long,
    @CborLabel(4) val recent: Long? = null,
    @CborLabel(5) val released: Long = 0,
    @CborLabel(6) val releasedTokenMillis: Long = 0,
    @CborLabel(7) val countsTokens: Boolean = true,
)
