package io.anvilvalve.host.routing

import arrow.core.Either
import arrow.core.right
import io.anvilvalve.api.id.RequestId
import io.anvilvalve.api.result.ResultCode
import io.anvilvalve.api.result.bounded
import io.anvilvalve.host.BodyReader
import io.anvilvalve.host.ByteBudget
import io.anvilvalve.host.CallerWatch
import io.anvilvalve.host.ClientLimit
import io.anvilvalve.host.LimitReports
import io.anvilvalve.host.ReceivedBody
import io.anvilvalve.host.Rejection
import io.anvilvalve.host.errorBody
import io.anvilvalve.host.hasBody
import io.anvilvalve.host.sendBody
import io.anvilvalve.rules.routing.HeadRules
import io.anvilvalve.rules.routing.InboundRequest
import io.anvilvalve.rules.routing.RoutingEffect
import io.anvilvalve.rules.routing.RoutingEvent
import jakarta.servlet.http.HttpServletRequest
import jakarta.servlet.http.HttpServletResponse
import okhttp3.Headers
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.AtomicInteger
import java.util.concurrent.atomic.AtomicLong
import kotlin.time.Duration
import kotlin.time.Duration.Companion.days
import kotlin.time.TimeSource

/**
 * Handles callers' requests; each occupies its own thread until the answer has ended.
 *
 * @param heads rules by which a header is checked before the body is read; null before the first configuration.
 * @param isWarm whether the warm-up has ended, whose requests have no route but must load the code that reads bodies.
 * @param onError receives exceptions that no call should throw.
 * @param writeLimit time in which a caller must take each part of an answer that is written.
 */
internal class RoutingApi(
    private val dialect: RoutingDialect,
    private val upstream: UpstreamClient,
    private val watch: CallerWatch,
    private val newBodyReader: () -> BodyReader,
    private val budget: ByteBudget,
    private val reports: LimitReports,
    private val heads: () -> HeadRules?,
    private val isWarm: () -> Boolean,
    private val writeLimit: () -> Duration,
    private val maxRequests: Int,
    private val time: TimeSource.WithComparableMarks,
    private val post: (RoutingEvent) -> Unit,
    private val onError: (Exception) -> Unit,
) {
    private val inFlight = ConcurrentHashMap<RequestId, RoutedExchange>()
    private val lastNumber = AtomicLong()

    /** Requests whose body is read or that are in flight. */
    private val openRequests = AtomicInteger()

    /** Set when the host starts to drain; from then on answers close their connections. */
    @Volatile
    var draining: Boolean = false

    val inFlightCount: Int get() = inFlight.size

    /** Passes [effect] to its request; does nothing if the request has ended. */
    fun perform(effect: RoutingEffect.OnRequest) {
        inFlight[effect.id]?.perform(effect)
    }

    fun handle(request: HttpServletRequest, response: HttpServletResponse) {
        try {
            if (openRequests.incrementAndGet() > maxRequests) {
                reports.acted(ClientLimit.REQUESTS)
                reject(response, ResultCode.NO_BACKEND_SERVER)
            } else {
                receive(request, response)
            }
        } finally {
            openRequests.decrementAndGet()
        }
    }

    private fun receive(request: HttpServletRequest, response: HttpServletResponse) {
        val target = request.requestURI + request.queryString?.let { query -> "?$query" }.orEmpty()
        if (!isSendable(target)) return reject(response, ResultCode.MALFORMED_REQUEST)
        val head = request.okHttpHeaders()
        // The attempt id correlates this host's log lines with those of callers and backend servers.
        val attemptId = dialect.attemptId(head)
        val id = RequestId("${attemptId?.bounded() ?: "none"}-${lastNumber.incrementAndGet()}")
        val inbound = dialect.inbound(id, request.requestURI, head)
            .fold({ return reject(response, ResultCode.MALFORMED_REQUEST) }, { it })
        val rules = heads()
        val isUnread = request.hasBody && isWarm() && rules?.mayAdmit(inbound) != true
        val body = if (isUnread) ReceivedBody.EMPTY.right() else readBody(request, inbound.deadline)
        body.fold({ reject(response, it.code) }) {
            it.use { body ->
                val received = ReceivedRequest(request.method, target, head, body.bytes, attemptId, isUnread)
                run(request, response, received, inbound)
            }
        }
    }

    private fun readBody(request: HttpServletRequest, limit: Duration?): Either<Rejection, ReceivedBody> =
        newBodyReader().run { if (limit == null) read(request) else read(request, limit) }

    private fun run(
        request: HttpServletRequest,
        response: HttpServletResponse,
        received: ReceivedRequest,
        inbound: InboundRequest,
    ) {
        val id = inbound.id
        val entry = watch.watch(request, time.markNow() + NO_TIME_LIMIT) { post(RoutingEvent.CallerGone(id, it)) }
        val holding = budget.open(entry::abort)
        // The rest of a body that was not read would be taken for the next request.
        val answer = RoutedAnswer(response, holding, writeLimit()) { draining || received.isBodyUnread }
        val exchange = RoutedExchange(id, received, answer, entry, upstream, dialect, post, onError)
        inFlight[id] = exchange
        var ended = false
        try {
            exchange.run(inbound)
            ended = true
        } finally {
            if (!ended) post(RoutingEvent.CallerGone(id))
            entry.close()
            inFlight.remove(id)
            holding.close()
        }
        entry.closeConnectionIfPipelined()
    }

    private fun reject(response: HttpServletResponse, code: ResultCode) {
        response.status = code.httpStatus
        // The rest of the body was not read, so the connection cannot carry another request.
        response.setHeader("Connection", "close")
        response.sendBody("application/json", code.errorBody().toByteArray())
    }

    private fun HttpServletRequest.okHttpHeaders(): Headers {
        val builder = Headers.Builder()
        headerNames.asSequence().forEach { name ->
            getHeaders(name).asSequence().forEach { builder.addUnsafeNonAscii(name, it) }
        }
        return builder.build()
    }

    private companion object {
        /** The watch needs no deadline of its own, because the rules end every request at its deadline. */
        val NO_TIME_LIMIT = 1.days
    }
}
