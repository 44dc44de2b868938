package io.anvilvalve.host.routing

import io.anvilvalve.api.routing.Backend
import io.anvilvalve.net.CallRequest
import io.anvilvalve.net.ServerCall
import io.anvilvalve.net.ServerCalls
import okhttp3.Headers.Companion.headersOf

/**
 * Calls backend servers. An answer without the caller's attempt id cannot be told from a late answer to an earlier call,
 * so only requests that have one may use a kept connection.
 *
 * For requests of callers this side closes the connection and does not send `Connection: close`. A server that receives
 * this header may end an answer of unknown length with its connection where it would have sent chunks. A crash between
 * two events then looks like the end of the answer.
 */
internal class UpstreamClient(private val calls: ServerCalls, private val dialect: RoutingDialect) {
    /** Prepares the call that forwards [received], whose target must be sendable. */
    fun prepare(received: ReceivedRequest, server: Backend, outbound: OutboundCall): ServerCall {
        val hasBody = received.body.isNotEmpty() || received.method in BODY_METHODS
        val head = dialect.outbound(received.head, outbound).newBuilder().set("Accept-Encoding", "identity").build()
        val body = if (hasBody) received.body else null
        val mayReuse = outbound.terms.mayReuse && received.attemptId != null
        return calls.create(
            CallRequest(server.address, received.method, received.target, head, body, server.start, mayReuse),
        )
    }

    /** Creates the call that releases [handle] at [server]; null when the handle is not valid in a request. */
    fun releaseHandle(server: Backend, handle: String): ServerCall? {
        val target = dialect.handlePath(handle)
        if (!isSendable(target)) return null
        return calls.create(CallRequest(server.address, "DELETE", target, headersOf("Connection", "close")))
    }

    private companion object {
        val BODY_METHODS = setOf("POST", "PUT", "PATCH")
    }
}

/** Whether [target] stays one word, unchanged, in the first line of a request. */
internal fun isSendable(target: String): Boolean = target.startsWith('/') && target.all { it in '!'..'~' }
