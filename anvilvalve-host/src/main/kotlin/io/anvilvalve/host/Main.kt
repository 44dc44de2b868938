package io.anvilvalve.host

import com.github.ajalt.clikt.core.main

/** Starts the daemon. */
fun main(args: Array<String>) = DaemonCommand().main(args)
