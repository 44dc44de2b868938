package io.anvilvalve.cli

import com.github.ajalt.clikt.core.main
import kotlin.system.exitProcess

/** Runs the command and exits explicitly, because idle HTTP connections would keep the process alive for a minute. */
fun main(args: Array<String>) {
    CtlCommand.create(::openCommandContext).main(args)
    exitProcess(ExitCode.OK.number)
}
