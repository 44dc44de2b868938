package io.anvilvalve.net

import okhttp3.Headers
import okio.Buffer
import okio.BufferedSource
import okio.buffer
import okio.source
import org.apache.hc.core5.http.ClassicHttpRequest
import org.apache.hc.core5.http.ClassicHttpResponse
import org.apache.hc.core5.http.HttpException
import org.apache.hc.core5.http.HttpHeaders
import org.apache.hc.core5.http.io.entity.ByteArrayEntity
import org.apache.hc.core5.http.message.BasicClassicHttpRequest
import org.apache.hc.core5.http.message.MessageSupport
import java.io.IOException
import java.net.InetSocketAddress
import java.net.ProtocolException
import java.net.Socket
import kotlin.time.Duration

/** A call on a connection that is opened for it. */
internal class SingleUseCall(
    private val request: CallRequest,
    private val connectTimeout: Duration,
    private val readTimeout: Duration,
) : ServerCall {
    private val socket = Socket()

    @Volatile
    override var sent = false
        private set

    override fun execute(): ServerAnswer = try {
        connect()
        val connection = AnswerConnection(socket)
        val sendFailure = send(connection)
        try {
            receive(connection)
        } catch (e: IOException) {
            throw sendFailure?.apply { addSuppressed(e) } ?: e
        }
    } catch (e: HttpException) {
        throw malformed(e)
    } catch (e: IllegalArgumentException) {
        // The head has a name that no header can have.
        throw malformed(e)
    }

    override fun close() {
        try {
            socket.close()
        } catch (_: IOException) {
            // The answer has been read, or whoever reads it gets the failure.
        }
    }

    private fun connect() {
        val host = request.address.substringBeforeLast(':')
        val port = request.address.substringAfterLast(':').toIntOrNull()
        if (port == null) throw ProtocolException("the address ${request.address} has no port")
        socket.tcpNoDelay = true
        socket.soTimeout = readTimeout.inWholeMilliseconds.toInt()
        socket.connect(InetSocketAddress(host, port), connectTimeout.inWholeMilliseconds.toInt())
    }

    /** Returns why the request was not sent whole; a server may refuse a request before it has read its body. */
    private fun send(connection: AnswerConnection): IOException? = try {
        val message = message()
        sent = true
        connection.sendRequestHeader(message)
        message.entity?.let { connection.sendRequestEntity(message) }
        connection.flush()
        null
    } catch (e: IOException) {
        e
    }

    private fun message(): ClassicHttpRequest {
        val message = BasicClassicHttpRequest(request.method, "")
        // The constructor would parse and normalise the target.
        message.path = request.target
        request.head.forEach { (name, value) -> message.addHeader(name, value) }
        if (request.head[HttpHeaders.HOST] == null) message.addHeader(HttpHeaders.HOST, request.address)
        request.body?.let {
            message.addHeader(HttpHeaders.CONTENT_LENGTH, it.size)
            message.entity = ByteArrayEntity(it, null)
        }
        return message
    }

    private fun receive(connection: AnswerConnection): ServerAnswer {
        var response = connection.receiveResponseHeader()
        while (response.code < FIRST_FINAL_STATUS) response = connection.receiveResponseHeader()
        val head = head(response)
        FramingCheck.fault(head)?.let { throw ProtocolException(it) }
        return ServerAnswer(response.code, head, body(connection, response), connection.endsWithConnection)
    }

    private fun head(response: ClassicHttpResponse): Headers = Headers.Builder()
        .apply { response.headers.forEach { addUnsafeNonAscii(it.name, it.value.orEmpty()) } }
        .build()

    private fun body(connection: AnswerConnection, response: ClassicHttpResponse): BufferedSource {
        connection.headEnded()
        if (!MessageSupport.canResponseHaveBody(request.method, response)) return Buffer()
        connection.receiveResponseEntity(response)
        return response.entity.content.source().buffer()
    }

    private fun malformed(e: Exception) = ProtocolException("malformed answer: ${e.message}").apply { initCause(e) }

    private companion object {
        const val FIRST_FINAL_STATUS = 200
    }
}
