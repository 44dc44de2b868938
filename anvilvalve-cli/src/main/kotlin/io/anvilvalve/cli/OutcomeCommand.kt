package io.anvilvalve.cli

import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.core.Context
import com.github.ajalt.clikt.core.ProgramResult
import com.github.ajalt.clikt.core.requireObject
import kotlinx.coroutines.runBlocking

/** Command that prints an [Outcome] and exits with its exit code. */
internal abstract class OutcomeCommand(name: String, private val description: String) : CliktCommand(name) {
    protected val root by requireObject<CtlCommand>()

    override fun help(context: Context): String = description

    override fun run() {
        val outcome = runBlocking { perform() }
        echo(outcome.render(root.json), err = outcome.exit != ExitCode.OK && !root.json)
        if (outcome.exit != ExitCode.OK) throw ProgramResult(outcome.exit.number)
    }

    /** Runs the command; the caller prints the outcome. */
    abstract suspend fun perform(): Outcome
}

/** Command that only groups subcommands. */
internal abstract class GroupCommand(name: String, private val description: String) : CliktCommand(name) {
    override fun help(context: Context): String = description

    override fun run() = Unit
}
