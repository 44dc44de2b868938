package io.anvilvalve.net

import okio.AsyncTimeout
import java.io.IOException
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
    } finally {
        timeout.exit()
    }
}

/** Returns a timeout that closes the connection of this call after [limit]. */
@PublishedApi
internal fun ServerCall.closeAfter(limit: Duration): AsyncTimeout = object : AsyncTimeout() {
    override fun timedOut() = close()
}.apply { timeout(limit.inWholeMilliseconds, TimeUnit.MILLISECONDS) }
