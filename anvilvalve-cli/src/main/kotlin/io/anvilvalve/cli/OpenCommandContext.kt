package io.anvilvalve.cli

import arrow.core.Either
import arrow.core.flatMap
import io.anvilvalve.net.HttpClients
import io.anvilvalve.net.OkHttpLiveHostList
import io.anvilvalve.net.OkHttpLogService
import io.anvilvalve.settings.ClientSettings
import java.nio.file.Files
import java.nio.file.Path

/** Reads the settings file at [path] and creates the clients; returns all faults if the settings are not usable. */
internal fun openCommandContext(path: Path): Either<List<String>, CommandContext> = ClientSettings.load(path)
    .mapLeft { faults -> faults.map { it.toString() } }
    .flatMap { settings ->
        Either.catch { Files.readString(settings.operatorTokenFile).trim() }
            .mapLeft { listOf("the file with the operators' token cannot be read: ${it.javaClass.simpleName}") }
            .map { connect(settings, it) }
    }

private fun connect(settings: ClientSettings, token: String): CommandContext {
    val client = HttpClients.create(connectTimeout = settings.timeout, readTimeout = settings.timeout)
    return CommandContext(
        log = OkHttpLogService(client, settings.logUrl, settings.timeout),
        operators = HttpOperatorApi(client, token),
        operatorAddresses = settings.operatorAddresses,
        liveList = OkHttpLiveHostList(client, settings.liveListUrl),
        operatorPort = settings.operatorPort,
        author = settings.author,
    )
}
