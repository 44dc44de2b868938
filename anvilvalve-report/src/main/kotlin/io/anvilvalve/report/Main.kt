package io.anvilvalve.report

/** Starts the program. */
fun main(args: Array<String>) {
    require(args.isEmpty()) { "no arguments are known yet" }
}
