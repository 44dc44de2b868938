package io.anvilvalve.cli

import arrow.core.Either
import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.core.Context
import com.github.ajalt.clikt.core.ProgramResult
import com.github.ajalt.clikt.core.findOrSetObject
import com.github.ajalt.clikt.core.subcommands
import com.github.ajalt.clikt.parameters.options.default
import com.github.ajalt.clikt.parameters.options.flag
import com.github.ajalt.clikt.parameters.options.option
import com.github.ajalt.clikt.parameters.types.path
import java.nio.file.Path

/** Creates the context from a settings file, or returns the faults of the settings. */
internal typealias CommandContextLoader = (Path) -> Either<List<String>, CommandContext>

/** Root command of `anvilvalvectl` with the options that all subcommands share. */
internal class CtlCommand(private val load: CommandContextLoader) : CliktCommand(name = "anvilvalvectl") {
    val json by option("--json", help = "Print JSON.").flag()
    private val settings by option("--settings", help = "Settings file.", envvar = "ANVILVALVE_SETTINGS")
        .path()
        .default(Path.of("anvilvalvectl.ini"))

    override fun help(context: Context): String = "Publishes releases of anvilvalve and shows their state."

    override fun run() {
        currentContext.findOrSetObject { this }
    }

    /** Creates the command context, or prints the faults of the settings and exits with [ExitCode.USAGE]. */
    fun openContext(): CommandContext = load(settings).fold(
        { faults ->
            echo(Outcome(ExitCode.USAGE, code = null, faults).render(json), err = !json)
            throw ProgramResult(ExitCode.USAGE.number)
        },
        { it },
    )

    companion object {
        fun create(load: CommandContextLoader): CtlCommand = CtlCommand(load).subcommands(
            ValidateCommand(),
            DiffCommand(),
            PublishCommand(),
            HistoryCommand(),
            StatusCommand(),
            WaitCommand(),
            DrainCommand(),
            KeyCommand().subcommands(KeyWithdrawCommand(), KeyHashCommand()),
            HostCommand().subcommands(HostGoneCommand()),
        )
    }
}
