package io.anvilvalve.net

import com.sun.net.httpserver.HttpExchange
import com.sun.net.httpserver.HttpServer
import io.anvilvalve.api.id.BackendServerId
import io.anvilvalve.api.id.DataCentreId
import io.anvilvalve.api.id.ModelId
import io.anvilvalve.api.id.RequestId
import io.anvilvalve.api.port.EngineRequest
import io.anvilvalve.api.release.BackendServer
import io.anvilvalve.api.release.Role
import java.net.InetSocketAddress
import java.net.ServerSocket
import java.util.concurrent.CopyOnWriteArrayList
import java.util.concurrent.Executors

/** A request received by a [ScriptedServer]. */
internal class HttpRequest(
    val method: String,
    val uri: String,
    val headers: Map<String, List<String>>,
    val body: String,
)

/** HTTP server on the loopback interface; [handler] sends the response to each request. */
internal class ScriptedServer(private val handler: (HttpExchange) -> Unit) : AutoCloseable {
    val requests = CopyOnWriteArrayList<HttpRequest>()
    private val threads = Executors.newCachedThreadPool()
    private val server = HttpServer.create(InetSocketAddress("127.0.0.1", 0), 0).apply {
        executor = threads
        createContext("/") { exchange ->
            val body = exchange.requestBody.readBytes().decodeToString()
            requests +=
                HttpRequest(exchange.requestMethod, exchange.requestURI.toString(), exchange.requestHeaders, body)
            handler(exchange)
            exchange.close()
        }
        start()
    }

    val address = "127.0.0.1:${server.address.port}"
    val url = "http://$address"
    val backend = backendAt(address)

    override fun close() {
        server.stop(0)
        threads.shutdownNow()
    }

    companion object {
        /** Returns a server that answers every request with [status] and [body]. */
        fun always(status: Int, body: String) = ScriptedServer { it.reply(status, body) }
    }
}

internal fun HttpExchange.reply(status: Int, body: String) {
    val bytes = body.toByteArray()
    sendResponseHeaders(status, if (bytes.isEmpty()) -1 else bytes.size.toLong())
    responseBody.write(bytes)
}

internal fun backendAt(address: String) = BackendServer(BackendServerId("b"), address, DataCentreId("dc"), Role.DECODE)

/** Address of a port on which no process listens. */
internal fun closedAddress(): String = ServerSocket(0).use { "127.0.0.1:${it.localPort}" }

internal val engineRequest = EngineRequest(RequestId("h-1"), 2, ModelId("m"), "prompt", 2, 8, priority = 3)
