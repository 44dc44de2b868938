package io.anvilvalve.bench.policy

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/**
 * The four policy metrics of one run, each from 0 to 1.
 *
 * @property load offered load as a multiple of capacity.
 * @property goodputRatio token cost of requests that met both latency targets, of the offered token cost.
 * @property boundRatio goodput as a share of the goodput of the bound on the same arrivals.
 * @property wastedPrefillRatio prefilled prompt tokens that were not decoded.
 * @property worstOrganisationRatio lowest goodput of an organisation as a share of its max-min fair share.
 * @property refusedWithinRateRatio refused requests of the requests of organisations that are within their rate.
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
