package io.anvilvalve.rules.routing

import io.anvilvalve.api.id.OrganisationId
import io.anvilvalve.api.peer.SharedUsage
import io.anvilvalve.api.routing.OrganisationRule
import io.anvilvalve.api.routing.RecordedUsage

/** An organisation and the unit of its quota; usage in tokens cannot be converted to usage in requests. */
internal data class QuotaId(val organisation: OrganisationId, val countsTokens: Boolean)

internal val OrganisationRule.quotaId: QuotaId get() = QuotaId(id, countsTokens)

internal val SharedUsage.quotaId: QuotaId get() = QuotaId(organisation, countsTokens)

internal val RecordedUsage.quotaId: QuotaId get() = QuotaId(organisation, countsTokens)
