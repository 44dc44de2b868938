package io.anvilvalve.settings

import arrow.core.Either
import io.anvilvalve.api.PoolScope
import java.nio.file.Path
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Settings of the daemon `anvilvalved`; the default arguments apply to settings that the file omits.
 *
 * @property logUrl URL of the platform's log service.
 * @property liveListUrl URL of the platform's list of live hosts.
 */
data class HostSettings(
    val host: Host,
    val logUrl: String,
    val liveListUrl: String,
    val operators: Operators,
    val peers: Peers,
    val callers: Callers = Callers(),
    val engines: Engines = Engines(),
    val output: Output = Output(),
) {
    /**
     * Identity and location of the host.
     *
     * @property address IP address at which peers reach the host.
     * @property capacity processor capacity, in thousandths of a core.
     */
    data class Host(
        val id: String,
        val dataCentre: String,
        val region: String,
        val address: String,
        val capacity: Int = 1_000,
    )

    /**
     * Listener and limits of the callers' API.
     *
     * @property port TCP port; 0 selects a free port.
     * @property maxRequests maximum number of concurrent requests; each occupies one thread.
     * @property maxConnections maximum number of connections; null derives it from the other properties and the heap.
     * @property maxDescriptors file descriptors that the machine allows.
     * @property memoryBytes memory of the machine.
     * @property bodyTimeout time within which a caller must send its whole body.
     * @property idleTimeout time without sent or received bytes after which a caller is disconnected.
     * @property defaultMaxTokens `max_tokens` of a request that sets none; charged before the request runs.
     * @property batchPromptTokens prompt length in tokens from which a request without `X-Work-Class` is batch work.
     * @property requestTimeout time after which a request is cancelled as if its caller had disconnected.
     */
    data class Callers(
        val address: String = "0.0.0.0",
        val port: Int = 8_080,
        val maxRequests: Int = 1_000,
        val maxConnections: Int? = null,
        val maxDescriptors: Int = 10_000,
        val memoryBytes: Long = 4_096L * 1024 * 1024,
        val maxBodyBytes: Int = 4 * 1024 * 1024,
        val bodyTimeout: Duration = 10_000.milliseconds,
        val idleTimeout: Duration = 30_000.milliseconds,
        val defaultMaxTokens: Int = 512,
        val batchPromptTokens: Int = 8_000,
        val requestTimeout: Duration = 900_000.milliseconds,
    )

    /**
     * Listener of the operators' API.
     *
     * @property tokenFile file with the bearer token that operators present.
     * @property drainDeadline time that requests in flight have to finish after a stop signal.
     */
    data class Operators(
        val tokenFile: Path,
        val address: String = "0.0.0.0",
        val port: Int = 8_081,
        val drainDeadline: Duration = 60.seconds,
    )

    /**
     * Listener of the peer protocol.
     *
     * @property secretFile file with the secret that all hosts share.
     * @property sendQueue capacity in frames of the send queue of each peer; the oldest frame is dropped when full.
     * @property limitSlots number of slots to which the shares of the organisations' limits map; the same on all hosts.
     * @property poolScope which backend servers one pool owner schedules; the same on all hosts.
     */
    data class Peers(
        val secretFile: Path,
        val bindAddress: String = "0.0.0.0",
        val port: Int = 8_082,
        val sendQueue: Int = 1_024,
        val limitSlots: Int = 64,
        val poolScope: PoolScope = PoolScope.FLEET,
    )

    /**
     * Time-outs and intervals of calls to backend servers.
     *
     * @property loadPoll interval at which the load of a backend server is read.
     */
    data class Engines(
        val prefillTimeout: Duration = 30_000.milliseconds,
        val tokenGapTimeout: Duration = 10_000.milliseconds,
        val controlTimeout: Duration = 2_000.milliseconds,
        val serviceTimeout: Duration = 30_000.milliseconds,
        val loadPoll: Duration = 1_000.milliseconds,
    )

    /** Format and minimum level of log lines. */
    data class Output(val format: LogFormat = LogFormat.PLAIN, val level: LogLevel = LogLevel.INFO)

    companion object {
        /** Reads the INI file at [path]; the left side lists every fault. */
        fun load(path: Path): Either<List<SettingsFault>, HostSettings> =
            readDocument(path) { document, directory -> SettingsCollector(document, directory).hostSettings() }
    }
}
