package io.anvilvalve.host.routing

import io.anvilvalve.net.executeWithin
import io.anvilvalve.rules.routing.PrefillSource
import io.anvilvalve.rules.routing.RoutingEvent
import java.io.IOException
import java.util.concurrent.LinkedBlockingQueue
import java.util.concurrent.ThreadPoolExecutor
import java.util.concurrent.TimeUnit
import kotlin.time.Duration.Companion.seconds

/**
 * Releases prefill handles in the background, best effort: an engine drops a handle soon by itself.
 *
 * While engines do not answer, the oldest releases are dropped.
 */
internal class HandleReleases(
    private val upstream: UpstreamClient,
    private val dialect: RoutingDialect,
    private val post: (RoutingEvent) -> Unit,
) : AutoCloseable {
    private val executor = ThreadPoolExecutor(
        THREADS,
        THREADS,
        IDLE_SECONDS,
        TimeUnit.SECONDS,
        LinkedBlockingQueue(MAX_PENDING),
        { Thread(it, "release-handles").apply { isDaemon = true } },
        ThreadPoolExecutor.DiscardOldestPolicy(),
    ).apply { allowCoreThreadTimeOut(true) }

    fun submit(source: PrefillSource) = executor.execute { release(source) }

    override fun close() {
        executor.shutdownNow()
    }

    private fun release(source: PrefillSource) {
        try {
            upstream.releaseHandle(source.server, source.handle)?.executeWithin(CALL_TIMEOUT) { answer ->
                dialect.reportSignals(source.server, answer, post)
            }
        } catch (_: IOException) {
            // The engine drops the handle when its time is over.
        }
    }

    private companion object {
        const val THREADS = 4
        const val IDLE_SECONDS = 10L
        const val MAX_PENDING = 256
        val CALL_TIMEOUT = 1.seconds
    }
}
