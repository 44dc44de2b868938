package io.anvilvalve.bench

import com.github.ajalt.clikt.core.main

/** Starts the program. */
fun main(args: Array<String>) = BenchCommand.withSubcommands().main(args)
