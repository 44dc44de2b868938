package io.anvilvalve.cli

import com.github.ajalt.clikt.parameters.arguments.argument
import com.github.ajalt.clikt.parameters.options.default
import com.github.ajalt.clikt.parameters.options.option
import com.github.ajalt.clikt.parameters.types.long
import com.github.ajalt.clikt.parameters.types.restrictTo
import io.anvilvalve.api.id.Incarnation
import io.anvilvalve.api.id.ReleaseNumber
import kotlin.time.Duration.Companion.seconds

private const val DEFAULT_TIMEOUT_S = 60L

internal class StatusCommand : OutcomeCommand("status", "Shows the release in the log and the status of every host.") {
    override suspend fun perform(): Outcome = root.openContext().hosts.status()
}

internal class WaitCommand : OutcomeCommand("wait", "Waits until a release is in force on all hosts.") {
    private val release by argument(help = "Release number.").long().restrictTo(min = 0)
    private val timeout by option("--timeout", help = "Seconds to wait.")
        .long().restrictTo(min = 1).default(DEFAULT_TIMEOUT_S)

    override suspend fun perform(): Outcome = root.openContext().hosts.wait(ReleaseNumber(release), timeout.seconds)
}

internal class DrainCommand : OutcomeCommand("drain", "Starts the planned stop of a host.") {
    private val address by argument(help = "Operator address of the host as ip:port.")
    private val deadline by option("--deadline", help = "Seconds after which running streams are cut.")
        .long().restrictTo(min = 1).default(DEFAULT_TIMEOUT_S)

    override suspend fun perform(): Outcome = root.openContext().hosts.drain(address, deadline.seconds)
}

internal class HostCommand : GroupCommand("host", "Commands about hosts.")

internal class HostGoneCommand : OutcomeCommand("gone", "Declares that a host process has ended permanently.") {
    private val incarnation by argument(help = "Incarnation, as shown by 'status'.")

    override suspend fun perform(): Outcome {
        val context = root.openContext()
        return ReleaseActions(context.log, DEFAULT_TIMEOUT_S.seconds).hostGone(Incarnation(incarnation), context.author)
    }
}
