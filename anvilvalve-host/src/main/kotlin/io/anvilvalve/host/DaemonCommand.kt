package io.anvilvalve.host

import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.core.Context
import com.github.ajalt.clikt.core.ProgramResult
import com.github.ajalt.clikt.parameters.options.flag
import com.github.ajalt.clikt.parameters.options.option
import com.github.ajalt.clikt.parameters.options.required
import com.github.ajalt.clikt.parameters.types.path
import io.anvilvalve.api.result.LogEvent
import io.anvilvalve.net.EngineTimeouts
import io.anvilvalve.net.HttpBackendServerClient
import io.anvilvalve.net.HttpLiveHostList
import io.anvilvalve.net.HttpLogService
import io.anvilvalve.settings.HostSettings
import io.anvilvalve.settings.SettingsFault
import org.apache.logging.log4j.LogManager
import java.time.Clock
import java.util.concurrent.ExecutionException
import java.util.concurrent.TimeUnit
import java.util.concurrent.TimeoutException
import java.util.concurrent.atomic.AtomicBoolean
import kotlin.time.Duration.Companion.seconds

/** The command `anvilvalved --config FILE [--check]`, which runs one entry host. */
internal class DaemonCommand : CliktCommand("anvilvalved") {
    private val config by option("--config", metavar = "FILE", help = "settings in INI form").path().required()
    private val check by option("--check", help = "check the settings and exit").flag()

    /** Set by whichever ends the process first: a signal or the reducer's exit effect. */
    private val stopping = AtomicBoolean()

    override fun help(context: Context) = "Entry daemon: routes callers' requests to backend servers."

    override fun run() {
        val settings = HostSettings.load(config).fold(::exitWithFaults) { it }
        if (check) {
            echo("The settings have no faults.")
            return
        }
        LogSetup.apply(settings.output)
        val host = entryHost(settings)
        host.start()
        Runtime.getRuntime().addShutdownHook(Thread({ stopBySignal(host, settings) }, "stop"))
        val clean = try {
            host.exit.get()
        } catch (e: ExecutionException) {
            endAfter(e, settings)
        }
        if (stopping.compareAndSet(false, true)) {
            end(host, clean)
        }
    }

    /** Ends the process at once, because nothing is decided any more. */
    private fun endAfter(failure: ExecutionException, settings: HostSettings): Nothing {
        try {
            EventLog(settings.host.id, settings.output.format, Clock.systemUTC())
                .write(LogEvent.EVENT_LOOP_ENDED, mapOf("error" to "${failure.cause}"))
            LogManager.shutdown()
        } finally {
            Runtime.getRuntime().halt(EXIT_AFTER_ERROR)
        }
        throw failure
    }

    private fun end(host: EntryHost, clean: Boolean) {
        host.finishCallers()
        host.close()
        Runtime.getRuntime().halt(exitCode(clean))
    }

    private fun exitWithFaults(faults: List<SettingsFault>): Nothing {
        faults.forEach { echo("${LogEvent.SETTINGS_INVALID.code} $it", err = true) }
        throw ProgramResult(EXIT_INVALID_SETTINGS)
    }

    private fun entryHost(settings: HostSettings): EntryHost {
        val timeouts = with(settings.engines) {
            EngineTimeouts(prefillTimeout, tokenGapTimeout, controlTimeout, serviceTimeout)
        }
        return EntryHost(
            settings,
            HttpLogService(settings.logUrl),
            HttpLiveHostList(settings.liveListUrl),
            HttpBackendServerClient(timeouts),
        )
    }

    /**
     * Halts explicitly: after a signal the JVM would exit with 128 plus the signal number, but a clean drain must exit
     * with 0.
     */
    private fun stopBySignal(host: EntryHost, settings: HostSettings) {
        if (!stopping.compareAndSet(false, true)) return
        host.drain()
        val limit = settings.operators.drainDeadline + DRAIN_GRACE_PERIOD
        val clean = try {
            host.exit.get(limit.inWholeMilliseconds, TimeUnit.MILLISECONDS)
        } catch (_: TimeoutException) {
            false
        }
        end(host, clean)
    }

    private fun exitCode(clean: Boolean) = if (clean) 0 else EXIT_UNCLEAN

    private companion object {
        const val EXIT_UNCLEAN = 1
        const val EXIT_INVALID_SETTINGS = 2
        const val EXIT_AFTER_ERROR = 3

        /** Time after the drain deadline for the reducer to end the remaining requests and leave the membership. */
        val DRAIN_GRACE_PERIOD = 10.seconds
    }
}
