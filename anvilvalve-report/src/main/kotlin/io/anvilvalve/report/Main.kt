package io.anvilvalve.report

import com.github.ajalt.clikt.core.main

/** Entry point of `anvilvalve-report`. */
fun main(args: Array<String>) = ReportCommand.withSubcommands().main(args)
