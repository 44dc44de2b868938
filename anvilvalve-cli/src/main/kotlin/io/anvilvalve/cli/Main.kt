package io.anvilvalve.cli

import com.github.ajalt.clikt.core.main
import kotlin.system.exitProcess

/** Starts the program; it ends at once, because idle HTTP connections would keep it alive for a minute. */
fun main(args: Array<String>) {
    CtlCommand.create(::openCommandContext).main(args)
    exitProcess(ExitCode.OK.number)
}
