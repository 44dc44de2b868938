package io.anvilvalve.api.routing

import io.anvilvalve.api.id.OrganisationId
import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.Serializable
import kotlinx.serialization.cbor.CborLabel

/**
 * What all hosts admitted of an organisation shortly before this was written to the store.
 *
 * @property slices tokens in each slice of the quota window, the newest first.
 */
@OptIn(ExperimentalSerializationApi::class)
@Serializable
data class RecordedUsage(@CborLabel(1) val organisation: OrganisationId, @CborLabel(2) val slices: List<Long>)
