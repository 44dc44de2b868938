package io.anvilvalve.bench.policy

/**
 * One request of a run and its outcome. Times are in microseconds.
 *
 * @property cost token cost, which is the unit of goodput and of fair shares.
 */
internal class Request(
    val number: Int,
    val organisation: OrganisationSpec,
    val spec: RequestSpec,
    val host: HostSpec,
    val arrivedAt: Long,
    val promptTokens: Int,
    val outputTokens: Int,
    val prefixHashes: List<Long>,
) {
    val cost: Double = tokenCost(promptTokens, outputTokens)
    val deadline: Long = arrivedAt + spec.deadlineMicros

    /** Tokens of the shared prefix that a warm prefix cache holds, in whole pieces. */
    val cacheableTokens: Int = prefixHashes.take(spec.sharedTokens / PIECE_TOKENS).size * PIECE_TOKENS

    var attempt = 0
    var delivered = 0
    var firstTokenAt = 0L
    var finishedAt = 0L
    var refused = false
    var failed = false

    /** Whether the request met the first-token deadline and the target for the mean token gap. */
    val good: Boolean
        get() = finishedAt > 0 && firstTokenAt <= deadline &&
            finishedAt - firstTokenAt <= TOKEN_GAP_TARGET_MICROS * (outputTokens - 1).coerceAtLeast(1)
}
