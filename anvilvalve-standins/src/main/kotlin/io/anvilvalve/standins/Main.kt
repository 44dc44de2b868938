package io.anvilvalve.standins

import com.github.ajalt.clikt.core.main
import io.anvilvalve.standins.command.standinCommand

/** Runs the `anvilvalve-standin` command. */
fun main(args: Array<String>) = standinCommand().main(args)
