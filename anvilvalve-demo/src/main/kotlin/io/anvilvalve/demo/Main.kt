package io.anvilvalve.demo

import com.github.ajalt.clikt.core.main

/** Starts the program. */
fun main(args: Array<String>) = DemoCommand().main(args)
