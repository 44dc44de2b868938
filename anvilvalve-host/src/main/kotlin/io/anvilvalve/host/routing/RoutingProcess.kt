package io.anvilvalve.host.routing

import io.anvilvalve.api.result.LogEvent
import io.anvilvalve.api.routing.StateDecoder
import io.anvilvalve.api.routing.StateStore
import io.anvilvalve.host.EventLog
import io.anvilvalve.host.LogSetup
import io.anvilvalve.settings.RoutingHostSettings
import org.apache.logging.log4j.LogManager
import sun.misc.Signal
import java.nio.file.Path
import java.time.Clock
import java.util.concurrent.ExecutionException
import java.util.concurrent.TimeUnit
import java.util.concurrent.TimeoutException

/** Runs a [RoutingHost] as a process: handles signals, reloads the settings and shuts down. */
class RoutingProcess(
    private val settings: RoutingHostSettings,
    private val config: Path,
    private val store: StateStore,
    private val decoder: StateDecoder,
    private val dialect: RoutingDialect,
) {
    /** Never returns; after a stop signal the process ends when no request is in flight or at the drain limit. */
    fun run() {
        LogSetup.apply(settings.output)
        val host = RoutingHost(settings, store, decoder, dialect)
        val events = EventLog(settings.host.id, settings.output.format, Clock.systemUTC())
        Signal.handle(Signal("HUP")) { reload(events) }
        Runtime.getRuntime().addShutdownHook(Thread({ stop(host, events) }, "stop"))
        host.start()
        try {
            host.exit.get()
        } catch (e: ExecutionException) {
            endAfter(e, events)
        }
        // The shutdown hook ends the process; this thread must not end it earlier.
        Thread.currentThread().join()
    }

    /** Starts and stops the host once without serving callers, so that a build can record a class archive. */
    fun rehearse() {
        LogSetup.apply(settings.output)
        RoutingHost(settings, store, decoder, dialect).use { it.start() }
    }

    /** Ends the process at once, because nothing is decided any more; the platform starts it again. */
    private fun endAfter(failure: ExecutionException, events: EventLog) = try {
        events.write(LogEvent.EVENT_LOOP_ENDED, mapOf("error" to "${failure.cause}"))
        LogManager.shutdown()
    } finally {
        Runtime.getRuntime().halt(EXIT_AFTER_ERROR)
    }

    private fun stop(host: RoutingHost, events: EventLog) {
        host.drain()
        try {
            host.exit.get(settings.fleet.drainLimit.inWholeMilliseconds, TimeUnit.MILLISECONDS)
        } catch (_: TimeoutException) {
            // The platform kills the process at the limit, which cuts off requests in flight in any case.
        }
        // An orderly close of the listeners takes longer than the remaining time, and no request is in flight any more.
        val open = mapOf("requests" to "${host.openRequests}", "connections" to "${host.openConnections}")
        events.write(LogEvent.DAEMON_STOPPED, open)
        LogManager.shutdown()
        Runtime.getRuntime().halt(0)
    }

    /** Applies the log level in the file; settings of listeners and peers take effect only at the next start. */
    private fun reload(events: EventLog) = RoutingHostSettings.load(config).fold(
        { faults -> faults.forEach { events.write(LogEvent.SETTINGS_INVALID, mapOf("fault" to it.toString())) } },
        { next ->
            LogSetup.apply(next.output)
            events.write(LogEvent.SETTINGS_RELOADED, mapOf("level" to next.output.level.name))
        },
    )

    private companion object {
        const val EXIT_AFTER_ERROR = 3
    }
}
