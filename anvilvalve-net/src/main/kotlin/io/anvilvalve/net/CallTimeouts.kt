package io.anvilvalve.net

import okio.AsyncTimeout
import java.io.IOException
import java.net.SocketTimeoutException
import java.util.concurrent.TimeUnit
import kotlin.time.Duration

/**
 * Executes the call and passes its answer to [read]; closes the connection afterwards.
 *
 * @param bodyLimit time for the body after the head has arrived; what is left of [limit] if it is null.
 * @throws IOException when the call fails, or is not done in time.
 */
inline fun <T> ServerCall.executeWithin(
    limit: Duration,
    bodyLimit: (ServerAnswer) -> Duration? = { null },
    read: (ServerAnswer) -> T,
): T = use {
    var current = limit
    var timeout = closeAfter(current)
    timeout.enter()
    try {
        val answer = execute()
        bodyLimit(answer)?.let {
            if (timeout.exit()) throw SocketTimeoutException("not done after $limit")
            current = it
            timeout = closeAfter(it)
            timeout.enter()
        }
        read(answer)
    } catch (e: IOException) {
        // The closed connection is only the effect of the timeout.
        throw if (timeout.exit()) SocketTimeoutException("not done after $current").apply { initCause(e) } else e
    } finally {
        timeout.exit()
    }
}

/** Returns a timeout that closes the connection of this call after [limit]. */
@PublishedApi
internal fun ServerCall.closeAfter(limit: Duration): AsyncTimeout = object : AsyncTimeout() {
    override fun timedOut() = close()
}.apply { timeout(limit.inWholeMilliseconds, TimeUnit.MILLISECONDS) }
