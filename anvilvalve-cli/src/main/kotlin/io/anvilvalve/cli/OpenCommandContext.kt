package io.anvilvalve.cli

import arrow.core.Either
import arrow.core.flatMap
import io.anvilvalve.net.HttpLiveHostList
import io.anvilvalve.net.HttpLogService
import io.anvilvalve.net.SingleUseCalls
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
    val calls = SingleUseCalls(settings.timeout)
    return CommandContext(
        log = HttpLogService(settings.logUrl, settings.timeout, calls),
        operators = HttpOperatorApi(calls, token, settings.timeout),
        operatorAddresses = settings.operatorAddresses,
        liveList = HttpLiveHostList(settings.liveListUrl, settings.timeout, calls),
        operatorPort = settings.operatorPort,
        author = settings.author,
    )
}
