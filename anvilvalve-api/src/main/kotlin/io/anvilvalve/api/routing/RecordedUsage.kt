package io.anvilvalve.api.routing

import io.anvilvalve.api.id.OrganisationId
import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.Serializable
import kotlinx.serialization.cbor.CborLabel

/**
 * Tokens of an organisation that all hosts admitted shortly before this record was written to the store.
 *
 * @property slices tokens admitted in each slice of the quota window, newest first.
 * @property countsTokens whether the usage is in tokens; otherwise it is in requests.
 */
@OptIn(ExperimentalSerializationApi::class)
@Serializable
data class RecordedUsage(
    @CborLabel(1) val organisation: OrganisationId,
    @CborLabel(2) val slices: List<Long>,
    @CborLabel(3) val countsTokens: Boolean = true,
)
