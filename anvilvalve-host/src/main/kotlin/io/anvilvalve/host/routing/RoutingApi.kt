package io.anvilvalve.host.routing

import io.anvilvalve.api.id.RequestId
import io.anvilvalve.api.result.ResultCode
import io.anvilvalve.host.BodyReader
import io.anvilvalve.host.CallerWatch
import io.anvilvalve.host.errorBody
import io.anvilvalve.host.sendBody
import io.anvilvalve.rules.routing.RoutingEffect
import io.anvilvalve.rules.routing.RoutingEvent
import jakarta.servlet.http.HttpServletRequest
import jakarta.servlet.http.HttpServletResponse
import okhttp3.Headers
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.AtomicLong
import kotlin.time.Duration.Companion.days
import kotlin.time.TimeSource

/** Handles callers' requests; each occupies its own thread until the answer has ended. */
internal class RoutingApi(
    private val dialect: RoutingDialect,
    private val upstream: UpstreamClient,
    private val watch: CallerWatch,
    private val newBodyReader: () -> BodyReader,
    private val maxRequests: Int,
    private val time: TimeSource.WithComparableMarks,
    private val post: (RoutingEvent) -> Unit,
) {
    private val inFlight = ConcurrentHashMap<RequestId, RoutedExchange>()
    private val lastNumber = AtomicLong()

    /** Set when the host starts to drain; from then on answers close their connections. */
    @Volatile
    var draining: Boolean = false

    val inFlightCount: Int get() = inFlight.size

    /** Passes [effect] to its request; does nothing if the request has ended. */
    fun perform(effect: RoutingEffect.OnRequest) {
        inFlight[effect.id]?.perform(effect)
    }

    fun handle(request: HttpServletRequest, response: HttpServletResponse) {
        val head = request.okHttpHeaders()
        val body = newBodyReader().read(request).fold({ return reject(response, it.code) }, { it })
        if (inFlight.size >= maxRequests) return reject(response, ResultCode.NO_BACKEND_SERVER)
        // The attempt id correlates this host's log lines with those of callers and backend servers.
        val attemptId = dialect.attemptId(head)
        val id = RequestId("${attemptId ?: "none"}-${lastNumber.incrementAndGet()}")
        val inbound = dialect.inbound(id, request.requestURI, head)
            .fold({ return reject(response, ResultCode.MALFORMED_REQUEST) }, { it })
        val target = request.requestURI + request.queryString?.let { "?$it" }.orEmpty()
        val received = ReceivedRequest(request.method, target, head, body, attemptId)
        val entry = watch.watch(request, time.markNow() + NO_TIME_LIMIT) { post(RoutingEvent.CallerGone(id, it)) }
        val answer = RoutedAnswer(response, ::draining)
        val exchange = RoutedExchange(id, received, answer, entry, upstream, dialect, post)
        inFlight[id] = exchange
        var ended = false
        try {
            exchange.run(inbound)
            ended = true
        } finally {
            if (!ended) post(RoutingEvent.CallerGone(id))
            entry.close()
            inFlight.remove(id)
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
