package io.anvilvalve.rules.scheduling

import io.anvilvalve.api.peer.PlacementOutcome
import io.anvilvalve.api.peer.WorkItem

/** One attempt of a request, from its submission until its retention ends. Times are in microseconds. */
internal class Work(val item: WorkItem, val attempt: Int, val arrivedAt: Long) {
    /** Time by which the first token is due. */
    var deadline: Long = arrivedAt + item.firstTokenBudgetMicros
    val kvPieces: Int = pieces(item.promptTokens + item.maxTokens)
    val promptPieces: Int = pieces(item.promptTokens)

    var state = State.QUEUED
    var placed: PlacementOutcome.Placed? = null
    var refused: PlacementOutcome.Refused? = null
    var prefill: ServerState? = null
    var decode: ServerState? = null
    var transfer: LinkSchedule.Transfer? = null

    /** Token cost charged to the organisation when the work was placed. */
    var charged = 0.0

    /** Latest time at which the work can start and still meet its deadline. */
    var latestStart = Long.MAX_VALUE

    /** Predicted prefill time for [prefillTokens] uncached tokens. */
    var prefillMicros = 0L
    var prefillTokens = 0.0

    /** Whether prefill time ([holdsPrefill]) and result memory ([holdsResult]) are reserved at the prefill server. */
    var holdsPrefill = false
    var holdsResult = false

    /** Server at which this attempt failed. */
    var failedServer: ServerState? = null

    /** Server at which an earlier attempt failed; placement prefers other servers. */
    var avoidedServer: ServerState? = null

    /** Time until which the prefill result can be transferred, or 0 when there is none. */
    var resultUntil = 0L
    var lastProgressAt = arrivedAt
    var started = false

    /** Occupancy integral of the decode server at [firstTokenAt]. */
    var occupancyAtFirstToken = 0.0
    var firstTokenAt = 0L

    /** Answer-length distribution of the model and work class. */
    var answerLengths: AnswerLengths? = null

    fun endProbability(tokens: Int): Double = answerLengths?.endProbability(tokens) ?: 0.0

    fun decodingMicros(now: Long): Long = now - firstTokenAt

    val ended: Boolean get() = state == State.ENDED

    /** States of an attempt in their usual order. */
    enum class State { QUEUED, PLACED, PREFILLED, DECODING, ENDED }

    companion object {
        /** Number of tokens in one KV piece. */
        const val PIECE_TOKENS = 1_000

        fun pieces(tokens: Int): Int = (tokens + PIECE_TOKENS - 1) / PIECE_TOKENS
    }
}
