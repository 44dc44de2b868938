package io.anvilvalve.report

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** Counters of the hosts' metrics that the report uses. */
@Serializable
internal enum class Measure {
    @SerialName("requests")
    REQUESTS,

    @SerialName("good")
    GOOD_REQUESTS,

    @SerialName("first_token")
    FIRST_TOKENS,

    @SerialName("first_token_met")
    FIRST_TOKENS_MET,

    @SerialName("gap")
    TOKEN_GAPS,

    @SerialName("gap_met")
    TOKEN_GAPS_MET,

    @SerialName("prefill")
    PREFILL_TOKENS,

    @SerialName("wasted_prefill")
    WASTED_PREFILL_TOKENS,

    @SerialName("refused")
    REFUSED_WITHIN_RATE,
    ;

    companion object {
        /** Returns the measure that [line] contributes to, or null if the report does not use the line. */
        fun of(line: MetricLine): Measure? = when (line.name) {
            "anvilvalve_requests_total" -> REQUESTS
            "anvilvalve_good_requests_total" -> GOOD_REQUESTS
            "anvilvalve_first_token_seconds_count" -> FIRST_TOKENS
            "anvilvalve_first_token_seconds_bucket" -> FIRST_TOKENS_MET.takeIf { line.hasBound(FIRST_TOKEN_TARGET_S) }
            "anvilvalve_token_gap_seconds_count" -> TOKEN_GAPS
            "anvilvalve_token_gap_seconds_bucket" -> TOKEN_GAPS_MET.takeIf { line.hasBound(TOKEN_GAP_TARGET_S) }
            "anvilvalve_prefill_tokens_total" -> PREFILL_TOKENS
            "anvilvalve_wasted_prefill_tokens_total" -> WASTED_PREFILL_TOKENS
            "anvilvalve_refused_within_rate_total" -> REFUSED_WITHIN_RATE
            else -> null
        }

        private fun MetricLine.hasBound(seconds: Double) = labels["le"]?.toDoubleOrNull() == seconds

        // The targets are upper bounds of histogram buckets.
        private const val FIRST_TOKEN_TARGET_S = 1.5
        private const val TOKEN_GAP_TARGET_S = 0.028
    }
}
