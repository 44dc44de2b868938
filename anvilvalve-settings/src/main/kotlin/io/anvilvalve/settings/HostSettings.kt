package io.anvilvalve.settings

import arrow.core.Either
import io.anvilvalve.api.PoolScope
import java.nio.file.Path
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Settings of the daemon `anvilvalved`; the defaults are the default arguments here.
 *
 * @property logUrl URL of the platform's log service.
 * @property liveListUrl URL of the platform's list of hosts.
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
     * Where the host is.
     *
     * @property address IP number at which peers reach the host.
     */
    data class Host(val id: String, val dataCentre: String, val region: String, val address: String)

    /**
     * Listener and bounds of the callers' API.
     *
     * @property port TCP port; 0 takes a free one.
     * @property maxRequests requests at once; each holds one thread.
     * @property bodyTimeout time in which a caller has to send its whole body.
     * @property idleTimeout time after which a caller that sends or reads nothing is cut off.
     * @property defaultMaxTokens `max_tokens` of a request that names none; it is charged before the request runs.
     * @property batchPromptTokens prompt length from which a request without a class header is batch work.
     * @property requestTimeout time after which a request is cancelled as if its caller were gone.
     */
    data class Callers(
        val address: String = "0.0.0.0",
        val port: Int = 8_080,
        val maxRequests: Int = 1_000,
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
     * @property drainDeadline deadline of a planned stop by signal.
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
     * @property sendQueue frames that wait for a peer; the oldest is dropped when it is full.
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
     * Bounds on calls to backend servers.
     *
     * @property loadPoll time between two reads of a backend server's load.
     */
    data class Engines(
        val prefillTimeout: Duration = 30_000.milliseconds,
        val tokenGapTimeout: Duration = 10_000.milliseconds,
        val controlTimeout: Duration = 2_000.milliseconds,
        val serviceTimeout: Duration = 30_000.milliseconds,
        val loadPoll: Duration = 1_000.milliseconds,
    )

    /** Form and least level of log lines. */
    data class Output(val format: LogFormat = LogFormat.PLAIN, val level: LogLevel = LogLevel.INFO)

    companion object {
        /** Reads [path]; the left side lists every fault. */
        fun load(path: Path): Either<List<SettingsFault>, HostSettings> =
            readDocument(path) { document, directory -> SettingsCollector(document, directory).hostSettings() }
    }
}
