package io.anvilvalve.host.routing

import arrow.core.Either
import io.anvilvalve.api.id.RequestId
import io.anvilvalve.api.routing.Stage
import io.anvilvalve.rules.routing.CallTerms
import io.anvilvalve.rules.routing.InboundRequest
import io.anvilvalve.rules.routing.PrefillSource
import io.anvilvalve.rules.routing.ServerSignals
import okhttp3.Headers

/** Defines the headers, paths and bodies that callers and backend servers use. */
interface RoutingDialect {
    /** Parses the headers of a caller's request for [path], which has no query; left describes what is malformed. */
    fun inbound(id: RequestId, path: String, head: Headers): Either<String, InboundRequest>

    /** Returns the headers for forwarding a request that has the caller's headers [head]. */
    fun outbound(head: Headers, call: OutboundCall): Headers

    /** Parses the [status] and headers of a backend server's answer. */
    fun answer(status: Int, head: Headers): AnswerFacts

    /** Parses what the [status] and headers of a backend server's answer say about the server itself. */
    fun signals(status: Int, head: Headers): ServerSignals

    /** Returns the headers of a backend server's answer that are relayed to the caller. */
    fun relayed(head: Headers): Headers

    /** Id of a caller's attempt, which backend servers echo; null when [head] has none. */
    fun attemptId(head: Headers): String?

    /** Parses the handle from the [body] of an answer to a prefill; left describes what is malformed. */
    fun prefillHandle(body: ByteArray): Either<String, String>

    /** Path at which an engine reports its state. */
    val reportPath: String

    /** Path at which an engine accepts stage orders. */
    val orderPath: String

    /** Parses the number of orders that an engine has accepted from its [report]; left describes what is malformed. */
    fun orderCount(report: ByteArray): Either<String, Long>

    /** Encodes [order] as the body of a request. */
    fun stageOrder(order: StageOrder): ByteArray

    /** Headers of a call that only [instance] may execute. */
    fun instanceHead(instance: String): Headers

    /** Path of a prefill [handle] at the backend server that holds it. */
    fun handlePath(handle: String): String

    /** Path of the platform's readiness probe. */
    val readinessPath: String
}

/**
 * An order to change the stage of an engine.
 *
 * @property holder name of the host that sends the order.
 * @property fence fencing token that the host acquired for its orders.
 * @property expectedOrders number of orders that the engine has accepted so far; it refuses the order on a mismatch.
 */
data class StageOrder(val stage: Stage, val holder: String, val fence: Long, val expectedOrders: Long)

/**
 * A call to a backend server.
 *
 * @property instance id of the backend server that must execute the call.
 * @property prefillOnly whether the backend server runs only the prefill.
 * @property source where to fetch the result of an earlier prefill; null when there is none.
 * @property resumeAfter id of the last event that the caller has received; null when there is none.
 */
data class OutboundCall(
    val instance: String,
    val terms: CallTerms,
    val prefillOnly: Boolean = false,
    val source: PrefillSource? = null,
    val resumeAfter: String? = null,
)

/**
 * Facts from the headers of a backend server's answer.
 *
 * @property attemptId attempt id that the backend server echoed; null when there is none.
 * @property notExecuted whether the backend server states that it did not execute the request.
 * @property signed whether the answer is signed as the backend server's own.
 */
data class AnswerFacts(val attemptId: String?, val notExecuted: Boolean, val signed: Boolean)
