package io.anvilvalve.cli

import arrow.core.Either
import arrow.core.flatMap
import io.anvilvalve.net.HttpClients
import io.anvilvalve.net.OkHttpLiveHostList
import io.anvilvalve.net.OkHttpLogService
import io.anvilvalve.settings.ClientSettings
import java.nio.file.Files
import java.nio.file.Path

/** Reads the settings file and prepares the clients; the left side lists all faults. */
internal fun openCommandContext(path: Path): Either<List<String>, CommandContext> = ClientSettings.load(path)
    .mapLeft { faults -> faults.map { it.toString() } }
    .flatMap { settings ->
        Either.catch { Files.readString(settings.operatorTokenFile).trim() }
            .mapLeft { listOf("the operators' token cannot be read: ${it.javaClass.simpleName}") }
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
