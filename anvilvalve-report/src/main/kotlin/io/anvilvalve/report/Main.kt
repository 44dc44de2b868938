package io.anvilvalve.report

import com.github.ajalt.clikt.core.main

/** Starts the program. */
fun main(args: Array<String>) = ReportCommand.withSubcommands().main(args)
