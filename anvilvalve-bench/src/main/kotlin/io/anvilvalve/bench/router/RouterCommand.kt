package io.anvilvalve.bench.router

import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.core.Context
import com.github.ajalt.clikt.parameters.options.flag
import com.github.ajalt.clikt.parameters.options.option
import org.apache.logging.log4j.Level
import org.apache.logging.log4j.core.config.Configurator

/** `anvilvalve-bench router`: measures one entry host on loopback. */
internal class RouterCommand : CliktCommand(name = "router") {
    private val json by option("--json", help = "print one JSON object per line").flag()

    override fun help(context: Context): String =
        "Measures one entry daemon on loopback against a direct call to the same engine stand-in."

    override fun run() {
        Configurator.setRootLevel(Level.ERROR)
        RouterBench().use { bench ->
            listOf(bench::addedLatency, bench::atTargetRate, bench::saturated).forEach { measure ->
                measure().forEach { echo(if (json) it.json() else it.text()) }
            }
        }
    }
}
