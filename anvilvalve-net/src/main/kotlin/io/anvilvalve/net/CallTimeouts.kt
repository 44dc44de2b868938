package io.anvilvalve.net

import okio.AsyncTimeout
import java.io.IOException
import java.net.SocketTimeoutException
import java.util.concurrent.TimeUnit
import kotlin.time.Duration

/**
 * Executes the call and passes its answer to [read]; closes the connection afterwards.
 *
 * @throws IOException when the call fails, or is not done after [limit].
 */
inline fun <T> ServerCall.executeWithin(limit: Duration, read: (ServerAnswer) -> T): T = use {
    val timeout = closeAfter(limit)
    timeout.enter()
    try {
        read(execute())
    } catch (e: IOException) {
        // The closed connection is only the effect of the timeout.
        throw if (timeout.exit()) SocketTimeoutException("not done after $limit").apply { initCause(e) } else e
    } finally {
        timeout.exit()
    }
}

/** Returns a timeout that closes the connection of this call after [limit]. */
@PublishedApi
internal fun ServerCall.closeAfter(limit: Duration): AsyncTimeout = object : AsyncTimeout() {
    override fun timedOut() = close()
}.apply { timeout(limit.inWholeMilliseconds, TimeUnit.MILLISECONDS) }
