package io.anvilvalve.rules.fleet

import io.anvilvalve.api.id.OrganisationId

/** Identifies a share by its organisation and its index, counted from 0. */
internal data class ShareKey(val organisation: OrganisationId, val share: Int)
