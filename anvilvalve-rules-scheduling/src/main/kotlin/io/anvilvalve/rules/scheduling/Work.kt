package io.anvilvalve.rules.scheduling

import io.anvilvalve.api.peer.PlacementOutcome
import io.anvilvalve.api.peer.WorkItem

/** One attempt of a request, from its submission until it is forgotten. Times are in microseconds. */
internal class Work(val item: WorkItem, val attempt: Int, val arrivedAt: Long) {
    /** Time by which the first token is wanted. */
    var deadline: Long = arrivedAt + item.firstTokenBudgetMicros
    val kvPieces: Int = pieces(item.promptTokens + item.maxTokens)
    val promptPieces: Int = pieces(item.promptTokens)

    var state = State.QUEUED
    var placed: PlacementOutcome.Placed? = null
    var refused: PlacementOutcome.Refused? = null
    var prefill: ServerState? = null
    var decode: ServerState? = null
    var transfer: LinkSchedule.Transfer? = null

    /** Token cost that the organisation was charged when the work was placed. */
    var charged = 0.0

    /** Latest time at which the work can start and still meet its deadline. */
    var latestStart = Long.MAX_VALUE

    /** Predicted prefill time and the uncached tokens that it was predicted for. */
    var prefillMicros = 0L
    var prefillTokens = 0.0

    /** Whether the prefill server's time and the result's memory there are held. */
    var holdsPrefill = false
    var holdsResult = false

    /** Server at which this attempt failed. */
    var failedServer: ServerState? = null

    /** Server at which an earlier attempt failed. */
    var avoidedServer: ServerState? = null

    /** Time until which the result of the prefill can be fetched, or 0. */
    var resultUntil = 0L
    var lastProgressAt = arrivedAt
    var started = false

    /** Occupancy integral of the decode server at the first token, and the time of that. */
    var occupancyAtFirstToken = 0.0
    var firstTokenAt = 0L

    /** Distribution of the answer lengths of this kind of work. */
    var answerLengths: AnswerLengths? = null

    fun endProbability(tokens: Int): Double = answerLengths?.endProbability(tokens) ?: 0.0

    fun decodingMicros(now: Long): Long = now - firstTokenAt

    val ended: Boolean get() = state == State.ENDED

    /** Steps of an attempt in their order. */
    enum class State { QUEUED, PLACED, PREFILLED, DECODING, ENDED }

    companion object {
        /** Tokens of one KV piece. */
        const val PIECE_TOKENS = 1_000

        fun pieces(tokens: Int): Int = (tokens + PIECE_TOKENS - 1) / PIECE_TOKENS
    }
}
