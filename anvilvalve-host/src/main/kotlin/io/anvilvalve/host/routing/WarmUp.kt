package io.anvilvalve.host.routing

import io.anvilvalve.net.CallRequest
import io.anvilvalve.net.ServerCalls
import io.anvilvalve.net.executeWithin
import io.anvilvalve.settings.Endpoint
import okhttp3.Headers.Companion.headersOf
import java.io.IOException
import kotlin.time.Duration.Companion.seconds

/**
 * Sends requests to the host's own listener before the host reports ready; no route has the host name of the requests.
 *
 * The first requests of a JVM take several times as long as later ones, which callers would notice after a restart.
 */
internal class WarmUp(private val calls: ServerCalls, private val endpoint: Endpoint) {
    /** Best effort: the first failure ends the warm-up. An unreachable listener shows in readiness and in the log. */
    fun run() {
        var index = 0
        while (index < REQUESTS && send(index)) index++
    }

    private fun send(index: Int): Boolean {
        val head = headersOf("Host", "warm-up.invalid", "Connection", "close")
        val request = CallRequest("$endpoint", "POST", "/warm-up/$index", head, ByteArray(BODY_BYTES))
        return try {
            calls.create(request).executeWithin(CALL_TIMEOUT) { it.bytesAtMost(MAX_ANSWER_BYTES) }
            true
        } catch (_: IOException) {
            false
        }
    }

    private companion object {
        /** Enough to load the classes of the request path; each request takes processor time that callers need. */
        const val REQUESTS = 15
        const val BODY_BYTES = 5_000
        const val MAX_ANSWER_BYTES = 64L * 1024
        val CALL_TIMEOUT = 10.seconds
    }
}
