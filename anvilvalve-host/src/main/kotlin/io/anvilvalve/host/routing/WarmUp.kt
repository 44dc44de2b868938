package io.anvilvalve.host.routing

import io.anvilvalve.settings.Endpoint
import okhttp3.OkHttpClient
import okhttp3.Request
import okhttp3.RequestBody.Companion.toRequestBody
import java.io.IOException

/**
 * Sends requests to the host's own listener before the host reports ready; no route has the host name of the requests.
 *
 * The first requests of a JVM take several times as long as later ones, which callers would notice after a restart.
 */
internal class WarmUp(private val client: OkHttpClient, private val endpoint: Endpoint) {
    /** Best effort: the first failure ends the warm-up. An unreachable listener shows in readiness and in the log. */
    fun run() {
        var index = 0
        while (index < REQUESTS && send(index)) index++
    }

    private fun send(index: Int): Boolean {
        val request = Request.Builder()
            .url("http://$endpoint/warm-up/$index")
            .header("Host", "warm-up.invalid")
            .header("Connection", "close")
            .post(ByteArray(BODY_BYTES).toRequestBody(null))
            .build()
        return try {
            client.newCall(request).execute().use { true }
        } catch (_: IOException) {
            false
        }
    }

    private companion object {
        /** Enough to load the classes of the request path; each request takes processor time that callers need. */
        const val REQUESTS = 15
        const val BODY_BYTES = 5_000
    }
}
