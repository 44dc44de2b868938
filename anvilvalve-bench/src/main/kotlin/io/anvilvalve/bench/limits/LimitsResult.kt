package io.anvilvalve.bench.limits

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/**
 * Figures of one run.
 *
 * @property peakOverCeilingRatio most tokens used in any interval beyond rate x time, divided by the burst; over 1 breaks
 * the limit.
 * @property refusedWithinRateRatio refused requests beyond those that one central bucket refuses, per request offered, of
 * the organisations that stay within their rate.
 * @property overloadedUseRatio tokens per second that an organisation over its rate uses, divided by the rate.
 * @property admittedAtOnceRatio requests that were admitted without waiting for another host, per request offered.
 * @property peerBytesPerHostPerSecond bytes of peer frames that a host sends.
 * @property logAppendsPerSecond appends of all hosts.
 */
@Serializable
internal data class LimitsResult(
    val scenario: String,
    val policy: String,
    @SerialName("peak_over_ceiling_ratio") val peakOverCeilingRatio: Double,
    @SerialName("refused_within_rate_ratio") val refusedWithinRateRatio: Double,
    @SerialName("overloaded_use_ratio") val overloadedUseRatio: Double? = null,
    @SerialName("peer_bytes_per_host_s") val peerBytesPerHostPerSecond: Double,
    @SerialName("log_appends_s") val logAppendsPerSecond: Double,
    @SerialName("admitted_at_once_ratio") val admittedAtOnceRatio: Double,
    val offered: Int,
    val admitted: Int,
    @SerialName("refused_by_central_bucket") val refusedByCentralBucket: Int,
    @SerialName("refusals") val refusals: Map<String, Int>,
)
