package io.anvilvalve.bench.policy

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/**
 * The policy metrics of one run; every ratio is from 0 to 1.
 *
 * @property load offered load as a multiple of capacity.
 * @property goodputRatio token cost of requests that met both latency targets, divided by the offered token cost.
 * @property boundRatio goodput divided by the goodput of the upper bound on the same arrivals.
 * @property wastedPrefillRatio prefilled prompt tokens that were not decoded, divided by all prefilled prompt tokens.
 * @property worstOrganisationRatio lowest goodput of an organisation, divided by its max-min fair share.
 * @property refusedWithinRateRatio refused requests divided by all requests, for organisations within their rate.
 */
@Serializable
internal data class PolicyResult(
    val workload: String,
    val load: Double,
    val policy: String,
    @SerialName("goodput_ratio") val goodputRatio: Double,
    @SerialName("bound_ratio") val boundRatio: Double,
    @SerialName("wasted_prefill_ratio") val wastedPrefillRatio: Double,
    @SerialName("worst_organisation_ratio") val worstOrganisationRatio: Double,
    @SerialName("refused_within_rate_ratio") val refusedWithinRateRatio: Double,
)
