package io.anvilvalve.standins

import com.github.ajalt.clikt.core.main
import io.anvilvalve.standins.command.standinCommand

/** Starts the program. */
fun main(args: Array<String>) = standinCommand().main(args)
