package io.anvilvalve.rules.fleet

import io.anvilvalve.api.id.OrganisationId

/** Share number [share] of an organisation. */
internal data class ShareKey(val organisation: OrganisationId, val share: Int)
