package io.anvilvalve.host

import java.util.concurrent.Executors
import java.util.concurrent.TimeUnit
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * Checks clients against the limits at an [interval]; a client that sends nothing triggers no other check.
 *
 * @param onError receives exceptions; the checks continue after one.
 */
internal class ClientSweep(
    private val budget: ByteBudget,
    private val connections: List<ConnectionSweep>,
    private val interval: Duration = INTERVAL,
    private val onError: (Throwable) -> Unit,
) : AutoCloseable {
    private val timer = Executors.newSingleThreadScheduledExecutor {
        Thread(it, "client-sweep").apply { isDaemon = true }
    }

    /** Starts the checks. */
    fun start() {
        val millis = interval.inWholeMilliseconds
        timer.scheduleWithFixedDelay(::run, millis, millis, TimeUnit.MILLISECONDS)
    }

    override fun close() {
        timer.shutdownNow()
    }

    /** Without the handler, the first failure would end all later checks. */
    @Suppress("TooGenericExceptionCaught")
    private fun run() = try {
        budget.sweep()
        connections.forEach { it.run() }
    } catch (e: Throwable) {
        onError(e)
    }

    private companion object {
        val INTERVAL = 250.milliseconds
    }
}
