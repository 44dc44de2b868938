package io.anvilvalve.settings

import arrow.core.Either
import arrow.core.left
import io.anvilvalve.api.PoolScope
import java.io.IOException
import java.nio.file.Files
import java.nio.file.Path

internal fun <T> readDocument(
    path: Path,
    read: (IniDocument, Path) -> Either<List<SettingsFault>, T>,
): Either<List<SettingsFault>, T> {
    val text = try {
        Files.readString(path)
    } catch (e: IOException) {
        return listOf(SettingsFault("file", null, null, "$path cannot be read: $e")).left()
    }
    return read(IniDocument.parse(text), path.toAbsolutePath().parent)
}

private const val HOST = "host"
private const val CALLERS = "callers"
private const val OPERATORS = "operators"
private const val PEERS = "peers"
private const val ENGINES = "engines"
private const val CLIENT = "client"
private const val MIN_SECRET_LENGTH = 16
private const val BYTES_PER_MIB = 1024 * 1024
private const val MAX_MAX_TOKENS = 32_768

internal fun SettingsCollector.hostSettings(): Either<List<SettingsFault>, HostSettings> = finish(
    HostSettings(
        host = HostSettings.Host(
            id = name(HOST, "id"),
            dataCentre = name(HOST, "data_centre"),
            region = name(HOST, "region"),
            address = address(HOST, "address", default = null),
        ),
        logUrl = url("log", "url"),
        liveListUrl = url("live_list", "url"),
        operators = operators(),
        peers = peers(),
        callers = callers(),
        engines = engines(),
        output = output(),
    ),
)

private fun SettingsCollector.callers(): HostSettings.Callers {
    val default = HostSettings.Callers()
    return HostSettings.Callers(
        address = address(CALLERS, "address", default.address),
        port = port(CALLERS, "port", default.port),
        maxRequests = int(CALLERS, "max_requests", default.maxRequests, 1..4_000),
        maxConnections = maxConnections(CALLERS),
        maxDescriptors = maxDescriptors(CALLERS, default.maxDescriptors),
        memoryBytes = memoryBytes(CALLERS, default.memoryBytes),
        maxBodyBytes = int(CALLERS, "max_body_bytes", default.maxBodyBytes, 1_024..default.maxBodyBytes),
        bodyTimeout = millis(CALLERS, "body_timeout_ms", default.bodyTimeout, 100L..600_000L),
        idleTimeout = millis(CALLERS, "idle_timeout_ms", default.idleTimeout, 100L..600_000L),
        defaultMaxTokens = int(CALLERS, "default_max_tokens", default.defaultMaxTokens, 1..MAX_MAX_TOKENS),
        batchPromptTokens = int(CALLERS, "batch_prompt_tokens", default.batchPromptTokens, 1..1_000_000),
        requestTimeout = millis(CALLERS, "request_timeout_ms", default.requestTimeout, 1_000L..86_400_000L),
    )
}

/** Maximum number of callers' connections; null if it is derived from other settings. */
internal fun SettingsCollector.maxConnections(section: String): Int? =
    int(section, "max_connections", default = 0, 0..1_000_000).takeIf { it > 0 }

internal fun SettingsCollector.maxDescriptors(section: String, default: Int): Int =
    int(section, "max_descriptors", default, 512..10_000_000)

internal fun SettingsCollector.memoryBytes(section: String, default: Long): Long =
    (decimal(section, "memory_mb", default.toDouble() / BYTES_PER_MIB, 128.0..1.0e7) * BYTES_PER_MIB).toLong()

private fun SettingsCollector.operators(): HostSettings.Operators {
    val tokenFile = secretFile(OPERATORS, "token_file", MIN_SECRET_LENGTH)
    val default = HostSettings.Operators(tokenFile)
    return HostSettings.Operators(
        tokenFile = tokenFile,
        address = address(OPERATORS, "address", default.address),
        port = port(OPERATORS, "port", default.port),
        drainDeadline = seconds(OPERATORS, "drain_deadline_s", default.drainDeadline, 1L..3_600L),
    )
}

private fun SettingsCollector.peers(): HostSettings.Peers {
    val secretFile = secretFile(PEERS, "secret_file", MIN_SECRET_LENGTH)
    val default = HostSettings.Peers(secretFile)
    return HostSettings.Peers(
        secretFile = secretFile,
        bindAddress = address(PEERS, "address", default.bindAddress),
        port = port(PEERS, "port", default.port),
        sendQueue = int(PEERS, "send_queue", default.sendQueue, 16..65_536),
        limitSlots = int(PEERS, "limit_slots", default.limitSlots, 1..4_096),
        poolScope = choice(PEERS, "pool_scope", default.poolScope, PoolScope.entries),
    )
}

private fun SettingsCollector.engines(): HostSettings.Engines {
    val default = HostSettings.Engines()
    return HostSettings.Engines(
        prefillTimeout = millis(ENGINES, "prefill_timeout_ms", default.prefillTimeout, 100L..600_000L),
        tokenGapTimeout = millis(ENGINES, "token_gap_timeout_ms", default.tokenGapTimeout, 100L..600_000L),
        controlTimeout = millis(ENGINES, "control_timeout_ms", default.controlTimeout, 100L..60_000L),
        serviceTimeout = millis(ENGINES, "service_timeout_ms", default.serviceTimeout, 100L..600_000L),
        loadPoll = millis(ENGINES, "load_poll_ms", default.loadPoll, 50L..60_000L),
    )
}

private fun SettingsCollector.output(): HostSettings.Output {
    val default = HostSettings.Output()
    return HostSettings.Output(
        format = choice("output", "format", default.format, LogFormat.entries),
        level = choice("output", "level", default.level, LogLevel.entries),
    )
}

internal fun SettingsCollector.clientSettings(): Either<List<SettingsFault>, ClientSettings> {
    val tokenFile = secretFile(OPERATORS, "token_file", MIN_SECRET_LENGTH)
    val logUrl = url("log", "url")
    val liveListUrl = url("live_list", "url")
    val default = ClientSettings(logUrl, liveListUrl, tokenFile)
    return finish(
        default.copy(
            operatorAddresses = addresses(OPERATORS, "addresses"),
            operatorPort = int(OPERATORS, "port", default.operatorPort, 1..65_535),
            author = text(CLIENT, "author", default.author),
            timeout = millis(CLIENT, "timeout_ms", default.timeout, 100L..600_000L),
        ),
    )
}
