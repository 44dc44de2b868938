package io.anvilvalve.bench

import com.github.ajalt.clikt.core.main

/** Entry point of `anvilvalve-bench`. */
fun main(args: Array<String>) = BenchCommand.withSubcommands().main(args)
