package io.anvilvalve.host.routing

import io.anvilvalve.api.result.Executed
import io.anvilvalve.api.routing.Backend
import io.anvilvalve.net.SentMarker
import okhttp3.Call
import okhttp3.HttpUrl.Companion.toHttpUrlOrNull
import okhttp3.OkHttpClient
import okhttp3.Request
import okhttp3.RequestBody.Companion.toRequestBody

/**
 * Calls backend servers, each call on its own connection, so that late bytes of one answer cannot get into another.
 *
 * For requests of callers this side closes the connection and does not send `Connection: close`. A server that receives
 * this header may end an answer of unknown length with its connection where it would have sent chunks. A crash between
 * two events then looks like the end of the answer.
 */
internal class UpstreamClient(private val client: OkHttpClient, private val dialect: RoutingDialect) {
    /** A call that is ready to be executed once. */
    class Prepared(val call: Call, private val marker: SentMarker) {
        /** Whether the first byte may have left this host. */
        val sent: Boolean get() = marker.sent
        val executed: Executed get() = marker.executed
    }

    /** Prepares the call that forwards [received]; null when its target cannot be sent unchanged. */
    fun prepare(received: ReceivedRequest, server: Backend, outbound: OutboundCall): Prepared? {
        val url = "http://${server.address}${received.target}".toHttpUrlOrNull() ?: return null
        if (!url.toString().endsWith(received.target)) return null
        val marker = SentMarker()
        val hasBody = received.body.isNotEmpty() || received.method in BODY_METHODS
        val request = Request.Builder()
            .url(url)
            .headers(dialect.outbound(received.head, outbound))
            .header("Accept-Encoding", "identity")
            .method(received.method, if (hasBody) received.body.toRequestBody(null) else null)
            .tag(SentMarker::class.java, marker)
            .build()
        return Prepared(client.newCall(request), marker)
    }

    /** Creates the call that releases [handle] at [server]; null when the handle is not valid in a URL. */
    fun releaseHandle(server: Backend, handle: String): Call? {
        val url = "http://${server.address}${dialect.handlePath(handle)}".toHttpUrlOrNull() ?: return null
        return client.newCall(Request.Builder().url(url).header("Connection", "close").delete().build())
    }

    private companion object {
        val BODY_METHODS = setOf("POST", "PUT", "PATCH")
    }
}
