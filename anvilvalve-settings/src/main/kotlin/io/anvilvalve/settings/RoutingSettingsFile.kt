package io.anvilvalve.settings

import arrow.core.Either
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.DurationUnit

private const val HOST = "host"
private const val CALLERS = "callers"
private const val OPERATIONS = "operations"
private const val PEERS = "peers"
private const val FLEET = "fleet"
private const val REGIONS = "regions"
private const val MACHINE = "machine"
private const val COLD_SERVERS = "cold_servers"
private const val OUTPUT = "output"
private const val MS_PER_SECOND = 1_000
private val countRange = 0..1_000_000_000
private const val THOUSANDTHS = 1_000
private val shareRange = 0.01..1_000.0
private val secondsRange = 0.01..86_400.0

internal fun SettingsCollector.routingSettings(): Either<List<SettingsFault>, RoutingHostSettings> = finish(
    RoutingHostSettings(
        host = HostSettings.Host(
            id = name(HOST, "id"),
            dataCentre = name(HOST, "data_centre"),
            region = name(HOST, "region"),
            address = address(HOST, "address", default = null),
            capacity = hostCapacity(),
        ),
        store = endpoint("store", "address"),
        callers = routingCallers(),
        operations = routingOperations(),
        peers = routingPeers(),
        fleet = routingFleet(),
        regions = names(REGIONS),
        output = HostSettings.Output(
            format = choice(OUTPUT, "format", LogFormat.JSON, LogFormat.entries),
            level = choice(OUTPUT, "level", LogLevel.INFO, LogLevel.entries),
        ),
    ),
)

/** The processor share multiplied by the speed of the core, in thousandths. */
private fun SettingsCollector.hostCapacity(): Int = (
    decimal(HOST, "cpu_share", default = 1.0, shareRange) * decimal(HOST, "cpu_speed", default = 1.0, shareRange) *
        THOUSANDTHS
    ).toInt()

private fun SettingsCollector.routingCallers(): RoutingHostSettings.Callers {
    val default = RoutingHostSettings.Callers(endpoint(CALLERS, "listen"))
    return default.copy(
        maxRequests = int(CALLERS, "max_requests", default.maxRequests, 1..4_000),
        maxConnections = maxConnections(CALLERS),
        maxDescriptors = maxDescriptors(MACHINE, default.maxDescriptors),
        memoryBytes = memoryBytes(MACHINE, default.memoryBytes),
    )
}

private fun SettingsCollector.routingOperations(): RoutingHostSettings.Operations {
    val default = RoutingHostSettings.Operations(endpoint(OPERATIONS, "listen"))
    return default.copy(metricsPort = port(OPERATIONS, "metrics_port", default.metricsPort))
}

private fun SettingsCollector.routingPeers() = RoutingHostSettings.Peers(
    listen = endpoint(PEERS, "listen"),
    fleet = text(PEERS, "fleet", "anvilvalve"),
    seeds = addresses(PEERS, "seeds"),
)

private fun SettingsCollector.routingFleet(): RoutingHostSettings.Fleet {
    val default = RoutingHostSettings.Fleet()
    return RoutingHostSettings.Fleet(
        retryRatio = decimal(FLEET, "retry_ratio", default.retryRatio, 0.0..1.0),
        retryExtra = decimal(FLEET, "retry_extra", default.retryExtra.toDouble(), 0.0..1.0e9).toInt(),
        retryWindow = decimalSeconds("retry_window_s", default.retryWindow),
        quotaWindow = decimalSeconds("quota_window_s", default.quotaWindow),
        quotaOvershoot = decimal(FLEET, "quota_overshoot", default.quotaOvershoot, 0.0..1.0),
        quotaSlack = int(FLEET, "quota_slack_tokens", default.quotaSlack, countRange),
        prefillShare = decimal(FLEET, "prefill_share", default.prefillShare, 0.05..0.95),
        orderLease = millis(FLEET, "order_lease_ms", default.orderLease, 1L..600_000L),
        drainLimit = decimalSeconds("drain_limit_s", default.drainLimit),
        coldOvershoot = decimal(COLD_SERVERS, "overshoot", default.coldOvershoot, 0.0..100.0, blankIsDefault = true),
        coldSlack = decimal(COLD_SERVERS, "slack", default.coldSlack, 0.0..1.0e6, blankIsDefault = true),
    )
}

private fun SettingsCollector.decimalSeconds(key: String, default: Duration): Duration =
    (decimal(FLEET, key, default.toDouble(DurationUnit.SECONDS), secondsRange) * MS_PER_SECOND).toLong().milliseconds
