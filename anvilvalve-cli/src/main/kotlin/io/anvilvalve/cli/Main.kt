package io.anvilvalve.cli

import arrow.core.Either
import com.github.ajalt.clikt.core.main

/** Starts the program. */
fun main(args: Array<String>) = CtlCommand.create { Either.Left(listOf("settings files cannot be read yet: $it")) }
    .main(args)
