package io.anvilvalve.settings

import arrow.core.Either
import java.nio.file.Path
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Settings of a host that reads its routing configuration from the platform's store.
 *
 * @property store address of the platform's store.
 * @property regions region of each data centre.
 */
data class RoutingHostSettings(
    val host: HostSettings.Host,
    val store: Endpoint,
    val callers: Callers,
    val operations: Operations,
    val peers: Peers,
    val fleet: Fleet = Fleet(),
    val regions: Map<String, String> = emptyMap(),
    val output: HostSettings.Output = HostSettings.Output(format = LogFormat.JSON),
) {
    /**
     * Listener and limits of the callers' API.
     *
     * @property maxRequests maximum number of concurrent requests; each occupies one thread.
     * @property maxConnections maximum number of connections; null derives it from the other properties and the heap.
     * @property maxDescriptors file descriptors that the machine allows.
     * @property memoryBytes memory of the machine.
     */
    data class Callers(
        val listen: Endpoint,
        val maxRequests: Int = 400,
        val maxConnections: Int? = null,
        val maxDescriptors: Int = 2_212,
        val memoryBytes: Long = 258L * 1024 * 1024,
    )

    /**
     * Listeners for the platform and the operators.
     *
     * @property listen address and port of the readiness and health checks.
     * @property metricsPort TCP port of the metrics endpoint.
     */
    data class Operations(val listen: Endpoint, val metricsPort: Int = 9_464)

    /**
     * Connections between hosts.
     *
     * @property fleet name that all hosts of a fleet share; connections from other fleets are refused.
     * @property seeds addresses of hosts to contact while no other host is known.
     */
    data class Peers(val listen: Endpoint, val fleet: String, val seeds: List<String> = emptyList())

    /**
     * Limits that apply to the whole fleet.
     *
     * @property retryRatio retry budget as a share of a service's requests in [retryWindow].
     * @property retryExtra number of retries allowed in [retryWindow] in addition to [retryRatio].
     * @property retryWindow window of the retry budget.
     * @property quotaWindow quota window, in which an organisation may use rate x window + burst tokens.
     * @property quotaOvershoot share by which all hosts together may exceed the quota of a window.
     * @property quotaSlack tokens by which the quota may be exceeded in addition to [quotaOvershoot].
     * @property prefillShare initial share of engines in the prefill pool, used until a share has been measured.
     * @property orderLease duration of the lease after which another host may send orders to engines.
     * @property coldOvershoot factor by which all hosts together may exceed what a cold backend server tolerates.
     * @property coldSlack requests a second by which they may exceed it in addition to [coldOvershoot].
     * @property drainLimit time from the stop signal until the platform kills the process.
     */
    data class Fleet(
        val retryRatio: Double = 0.2,
        val retryExtra: Int = 50,
        val retryWindow: Duration = 10.seconds,
        val quotaWindow: Duration = 8.seconds,
        val quotaOvershoot: Double = 0.1,
        val quotaSlack: Int = 120_000,
        val prefillShare: Double = 0.33,
        val orderLease: Duration = 3_000.milliseconds,
        val drainLimit: Duration = 8_000.milliseconds,
        val coldOvershoot: Double = 1.0,
        val coldSlack: Double = 0.0,
    )

    companion object {
        /** Reads the INI file at [path]; the left side lists every fault. */
        fun load(path: Path): Either<List<SettingsFault>, RoutingHostSettings> =
            readDocument(path) { document, directory -> SettingsCollector(document, directory).routingSettings() }
    }
}
