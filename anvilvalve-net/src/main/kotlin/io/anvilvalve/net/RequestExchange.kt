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
import org.apache.hc.core5.http.HttpVersion
import org.apache.hc.core5.http.ProtocolVersion
import org.apache.hc.core5.http.io.entity.ByteArrayEntity
import org.apache.hc.core5.http.message.BasicClassicHttpRequest
import org.apache.hc.core5.http.message.MessageSupport
import java.io.IOException
import java.net.ProtocolException
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * Sends [request] once on [connection] and reads its answer.
 *
 * @param onSend called before the first byte is sent.
 */
internal class RequestExchange(
    private val request: CallRequest,
    private val connection: AnswerConnection,
    private val onSend: () -> Unit,
) {
    private var isSent = false
    private var isAnswerPlain = false

    /** Time after which the server closes the connection if it is idle; infinite if the server has not told. */
    var idleTimeout: Duration = Duration.INFINITE
        private set

    /**
     * Whether the connection can carry another request: this one was sent whole before its answer began, and the answer
     * states its end in one way, was read to that end, follows no interim answer and does not close the connection.
     */
    val leavesConnectionUsable: Boolean get() = isSent && isAnswerPlain && connection.isAnswerRead

    /** @throws IOException when the request cannot be sent, or no sound head is received. */
    fun execute(): ServerAnswer = try {
        connection.beginExchange()
        val sendFailure = send()
        isSent = sendFailure == null && !connection.isAnsweredEarly
        try {
            receive()
        } catch (e: IOException) {
            throw sendFailure?.apply { addSuppressed(e) } ?: e
        }
    } catch (e: HttpException) {
        throw malformed(e)
    } catch (e: IllegalArgumentException) {
        // The library represents no status below one.
        throw malformed(e)
    }

    /** Returns why the request was not sent whole; a server may refuse a request before it has read its body. */
    private fun send(): IOException? = try {
        val message = message()
        onSend()
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

    private fun receive(): ServerAnswer {
        var response = receiveHead()
        val isFirstFinal = response.code >= FIRST_FINAL_STATUS
        while (response.code < FIRST_FINAL_STATUS) response = receiveHead()
        val head = Headers.Builder()
            .apply { fields(response).forEach { (name, value) -> addUnsafeNonAscii(name, value) } }
            .build()
        idleTimeout = statedIdleTimeout(head)
        isAnswerPlain = isFirstFinal && staysOpen(response.version, head) && HeadCheck.isDelimitedOnce(head)
        return ServerAnswer(response.code, head, body(response), connection.endsWithConnection)
    }

    private fun receiveHead(): ClassicHttpResponse = connection.receiveResponseHeader().also { response ->
        HeadCheck.fault(response.code, fields(response))?.let { throw ProtocolException(it) }
    }

    private fun fields(response: ClassicHttpResponse): List<Pair<String, String>> =
        response.headers.map { it.name to it.value.orEmpty() }

    private fun staysOpen(version: ProtocolVersion?, head: Headers): Boolean {
        val options = head.values(HttpHeaders.CONNECTION).flatMap { it.split(',') }
        return version?.equals(HttpVersion.HTTP_1_1) == true &&
            options.none { it.trim().equals("close", ignoreCase = true) }
    }

    /** A malformed value counts as zero. */
    private fun statedIdleTimeout(head: Headers): Duration = head.values("Keep-Alive")
        .flatMap { it.split(',') }
        .map { it.trim().lowercase() }
        .filter { it.startsWith("timeout") }
        .minOfOrNull { (it.substringAfter('=', "").trim().toIntOrNull() ?: 0).seconds }
        ?: Duration.INFINITE

    private fun body(response: ClassicHttpResponse): BufferedSource {
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
