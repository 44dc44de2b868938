package io.anvilvalve.bench.limits

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/**
 * Figures of one run of the limits benchmark.
 *
 * @property peakOverCeilingRatio maximum over all intervals of the tokens used beyond rate x time, divided by burst;
 * a value over 1 means that the limit was exceeded.
 * @property refusedWithinRateRatio refused requests beyond those that one central bucket refuses, per offered request,
 * over the organisations that stay within their rate.
 * @property worstOrganisationRefusedRatio highest [refusedWithinRateRatio] of a single organisation.
 * @property overloadedUseRatio tokens per second that the organisation over its rate uses, divided by its rate.
 * @property admittedAtOnceRatio requests admitted without waiting for another host, per offered request.
 * @property peerBytesPerHostPerSecond bytes of peer frames that a host sends per second, on average.
 * @property logAppendsPerSecond log appends per second of all hosts together.
 */
@Serializable
internal data class LimitsResult(
    val scenario: String,
    val policy: String,
    @SerialName("peak_over_ceiling_ratio") val peakOverCeilingRatio: Double,
    @SerialName("refused_within_rate_ratio") val refusedWithinRateRatio: Double,
    @SerialName("worst_organisation_refused_ratio") val worstOrganisationRefusedRatio: Double,
    @SerialName("overloaded_use_ratio") val overloadedUseRatio: Double? = null,
    @SerialName("peer_bytes_per_host_s") val peerBytesPerHostPerSecond: Double,
    @SerialName("log_appends_s") val logAppendsPerSecond: Double,
    @SerialName("admitted_at_once_ratio") val admittedAtOnceRatio: Double,
    val offered: Int,
    val admitted: Int,
    @SerialName("refused_by_central_bucket") val refusedByCentralBucket: Int,
    @SerialName("refusals") val refusals: Map<String, Int>,
)
