package io.anvilvalve.demo

import com.github.ajalt.clikt.core.main

/** Parses the command line and runs the demo; the exit status is 1 if a violation was found. */
fun main(args: Array<String>) = DemoCommand().main(args)
