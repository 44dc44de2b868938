package io.anvilvalve.host

import arrow.core.Either
import arrow.core.raise.either
import arrow.core.raise.ensureNotNull
import io.anvilvalve.api.id.AdapterId
import io.anvilvalve.api.id.ModelId
import io.anvilvalve.api.id.RequestId
import io.anvilvalve.api.id.RouteId
import io.anvilvalve.api.peer.WorkClass
import io.anvilvalve.api.port.BackendServerClient
import io.anvilvalve.api.port.ServiceCall
import io.anvilvalve.api.result.ResultCode
import io.anvilvalve.core.HeadRules
import io.anvilvalve.core.HostEvent
import io.anvilvalve.core.ModelRequest
import io.anvilvalve.core.ServiceRequest
import io.anvilvalve.settings.HostSettings
import jakarta.servlet.http.HttpServletRequest
import jakarta.servlet.http.HttpServletResponse
import java.security.MessageDigest
import java.time.Clock
import java.util.concurrent.atomic.AtomicInteger
import kotlin.time.TimeSource

/** Handlers of the callers' API. A handler occupies its request thread until the answer has ended. */
internal class CallersApi(
    private val settings: HostSettings.Callers,
    private val budget: ByteBudget,
    private val reports: LimitReports,
    private val table: RequestTable,
    private val state: HostState,
    private val metrics: HostMetrics,
    private val backends: BackendServerClient,
    private val watch: CallerWatch,
    private val time: TimeSource.WithComparableMarks,
    private val clock: Clock,
    private val post: (HostEvent) -> Unit,
) {
    private val bodies = BodyReader(settings.maxBodyBytes, settings.bodyTimeout, time, budget)

    /** Requests whose body is read or that are in the table. */
    private val openRequests = AtomicInteger()

    fun completion(request: HttpServletRequest, response: HttpServletResponse, chat: Boolean) = withinLimit(response) {
        val input = either {
            val headers = CallerHeaders.of(request).bind()
            val key = ensureNotNull(headers.key) { Rejection(ResultCode.KEY_MISSING) }
            checkHead(request) { it.refusal(key) }.bind()
            headers to bodies.readText(request) { parse(it, chat) }.bind()
        }
        input.fold({ response.reject(it) }, { (headers, body) -> runModel(request, response, headers, body, chat) })
    }

    fun service(request: HttpServletRequest, response: HttpServletResponse, route: String) = withinLimit(response) {
        val input = either {
            val headers = CallerHeaders.of(request).bind()
            checkHead(request) { it.refusal(headers.key, headers.idempotencyKey, RouteId(route)) }.bind()
            headers to bodies.read(request).bind()
        }
        input.fold({ response.reject(it) }) { (headers, body) ->
            body.use { callService(request, response, headers, it.bytes, route) }
        }
    }

    /** Refuses a request whose body would be read in vain; [refusal] returns the reason. */
    private fun checkHead(request: HttpServletRequest, refusal: (HeadRules) -> ResultCode?): Either<Rejection, Unit> =
        either {
            val code = if (request.hasBody) state.headRules?.let(refusal) else null
            if (code != null) {
                metrics.countRefusal(code)
                raise(Rejection(code))
            }
        }

    /** Runs [work] unless too many requests are open; otherwise refuses the request without reading its body. */
    private inline fun withinLimit(response: HttpServletResponse, work: () -> Unit) {
        try {
            if (openRequests.incrementAndGet() > settings.maxRequests) {
                reports.acted(ClientLimit.REQUESTS)
                response.reject(Rejection(ResultCode.NO_BACKEND_SERVER, "This host has no free request slot."))
            } else {
                work()
            }
        } finally {
            openRequests.decrementAndGet()
        }
    }

    private fun parse(text: String, chat: Boolean): Either<Rejection, CompletionRequest> = if (chat) {
        CompletionRequest.ofChat(text, settings.defaultMaxTokens)
    } else {
        CompletionRequest.ofCompletion(text, settings.defaultMaxTokens)
    }

    private fun runModel(
        request: HttpServletRequest,
        response: HttpServletResponse,
        headers: CallerHeaders,
        body: CompletionRequest,
        chat: Boolean,
    ) = withOpenRequest(request, response, { it.finish(null) }) { caller, limits ->
        val model = modelRequest(caller.id, headers, body)
        val created = clock.instant().epochSecond
        val json = AnswerJson(chat, caller.id.value, body.model, created, model.promptTokens)
        val answer =
            if (body.stream) StreamedAnswer(response, json, body.includeUsage) else CollectedAnswer(response, json)
        ModelExchange(caller, model, body.prompt, answer, limits, backends, post).run()
    }

    private fun modelRequest(id: RequestId, headers: CallerHeaders, body: CompletionRequest): ModelRequest {
        val promptTokens = PromptMeasures.estimateTokens(body.prompt)
        val defaultClass = if (promptTokens >= settings.batchPromptTokens) WorkClass.BATCH else WorkClass.INTERACTIVE
        return ModelRequest(
            id,
            headers.key,
            ModelId(body.model),
            promptTokens,
            body.maxTokens,
            headers.workClass ?: defaultClass,
            body.adapter?.let(::AdapterId),
            PromptMeasures.prefixHashes(body.prompt),
        )
    }

    private fun callService(
        request: HttpServletRequest,
        response: HttpServletResponse,
        headers: CallerHeaders,
        body: ByteArray,
        route: String,
    ) = withOpenRequest(request, response, {}) { caller, limits ->
        val query = request.queryString?.let { "?$it" }.orEmpty()
        val path = request.requestURI.removePrefix("/svc/").substringAfter("/", "").let { "/$it$query" }
        val digest = digest(request.method, path, body)
        val serviceRequest = ServiceRequest(caller.id, headers.key, RouteId(route), headers.idempotencyKey, digest)
        val call = ServiceCall(
            caller.id,
            request.method,
            path,
            request.contentType,
            body,
            headers.idempotencyKey,
            limits::reserve,
        )
        ServiceExchange(caller, serviceRequest, call, response, limits, backends, post).run()
    }

    /**
     * Adds the request to the request table, watches the caller's connection and runs [work].
     *
     * @param onGone called when the caller disconnects or the request times out. Does nothing for a call to a plain
     * service: a call that has been sent may have to continue, so that its reply is stored.
     */
    private fun withOpenRequest(
        request: HttpServletRequest,
        response: HttpServletResponse,
        onGone: (CallerRequest) -> Unit,
        work: (CallerRequest, AnswerLimits) -> Unit,
    ) {
        val caller = table.open(settings.maxRequests)
        if (caller == null) {
            response.sendError(ResultCode.NO_BACKEND_SERVER, "This host has no free request slot.")
            return
        }
        val connectionWatch = watch.watch(request, time.markNow() + settings.requestTimeout) {
            caller.gone = true
            post(HostEvent.CallerGone(caller.id))
            onGone(caller)
        }
        val holding = budget.open(connectionWatch::abort)
        var ended = false
        try {
            response.setHeader("X-Request-Id", caller.id.value)
            work(caller, AnswerLimits(holding, settings.idleTimeout))
            ended = true
        } finally {
            // Without this event, the reducer would never release the slots of a request whose thread failed.
            if (!ended) post(HostEvent.CallerGone(caller.id))
            connectionWatch.close()
            holding.close()
            table.close(caller)
        }
        connectionWatch.closeConnectionIfPipelined()
    }

    private fun digest(method: String, path: String, body: ByteArray): String {
        val sha = MessageDigest.getInstance("SHA-256")
        sha.update("$method\n$path\n".toByteArray())
        return sha.digest(body).joinToString("") { "%02x".format(it) }
    }

    private fun HttpServletResponse.reject(rejection: Rejection) {
        // Part of the body may be unread, so the connection cannot be reused for another request.
        setHeader("Connection", "close")
        sendError(rejection.code, rejection.detail)
    }
}
