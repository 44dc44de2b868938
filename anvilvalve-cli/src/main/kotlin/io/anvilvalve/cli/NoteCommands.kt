package io.anvilvalve.cli

import com.github.ajalt.clikt.parameters.arguments.argument
import com.github.ajalt.clikt.parameters.options.default
import com.github.ajalt.clikt.parameters.options.option
import com.github.ajalt.clikt.parameters.types.int
import com.github.ajalt.clikt.parameters.types.long
import com.github.ajalt.clikt.parameters.types.path
import com.github.ajalt.clikt.parameters.types.restrictTo
import io.anvilvalve.api.release.ReleaseNote
import io.anvilvalve.api.result.ResultCode
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

private const val DEFAULT_TIMEOUT_S = 30L
private const val DEFAULT_HISTORY = 20

/** Command with a release note file as its argument. */
internal abstract class NoteCommand(name: String, description: String) : OutcomeCommand(name, description) {
    private val file by argument(name = "note", help = "Release note as a JSON file.").path()

    override suspend fun perform(): Outcome {
        val context = root.openContext()
        return NoteFile.read(file, context.author).fold(
            { Outcome(ExitCode.REJECTED, ResultCode.NOTE_INVALID, listOf(it)) },
            { perform(context, it) },
        )
    }

    abstract suspend fun perform(context: CommandContext, note: ReleaseNote): Outcome
}

internal class ValidateCommand : NoteCommand("validate", "Checks a release note against the release in force.") {
    override suspend fun perform(context: CommandContext, note: ReleaseNote): Outcome =
        ReleaseActions(context.log, Duration.ZERO).validate(note)
}

internal class DiffCommand : NoteCommand("diff", "Shows what a release note would change.") {
    override suspend fun perform(context: CommandContext, note: ReleaseNote): Outcome =
        ReleaseActions(context.log, Duration.ZERO).diff(note)
}

internal class PublishCommand : NoteCommand("publish", "Publishes a release note and waits for the decision on it.") {
    private val timeout by option("--timeout", help = "Seconds to wait for the log.")
        .long().restrictTo(min = 1).default(DEFAULT_TIMEOUT_S)

    override suspend fun perform(context: CommandContext, note: ReleaseNote): Outcome =
        ReleaseActions(context.log, timeout.seconds).publish(note)
}

internal class HistoryCommand : OutcomeCommand("history", "Lists the latest release notes and the decisions on them.") {
    private val limit by option("--limit", help = "Maximum number of notes.")
        .int().restrictTo(min = 1).default(DEFAULT_HISTORY)

    override suspend fun perform(): Outcome = ReleaseActions(root.openContext().log, Duration.ZERO).history(limit)
}
