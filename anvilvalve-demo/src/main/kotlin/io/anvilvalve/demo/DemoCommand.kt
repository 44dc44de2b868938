package io.anvilvalve.demo

import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.core.Context
import com.github.ajalt.clikt.core.ProgramResult
import com.github.ajalt.clikt.parameters.options.default
import com.github.ajalt.clikt.parameters.options.flag
import com.github.ajalt.clikt.parameters.options.option
import com.github.ajalt.clikt.parameters.types.int
import com.github.ajalt.clikt.parameters.types.restrictTo
import kotlinx.coroutines.runBlocking
import org.apache.logging.log4j.Level
import org.apache.logging.log4j.core.config.Configurator

/** Runs [DemoScenario], or with `--serve` keeps the same fleet running until the process is stopped. */
internal class DemoCommand : CliktCommand(name = "anvilvalve-demo") {
    private val serve by option(help = "keep the fleet running and print its addresses and a key").flag()
    private val hosts by option(help = "number of entry hosts").int().restrictTo(MIN_HOSTS..MAX_HOSTS)
        .default(DEFAULT_HOSTS)
    private val verbose by option(help = "show the hosts' log lines").flag()

    override fun help(context: Context): String =
        "Runs entry hosts, engines and platform services in one process on loopback and sends real requests."

    override fun run() {
        Configurator.setRootLevel(if (verbose) Level.INFO else Level.ERROR)
        val passed = DemoFleet(hosts).use { fleet ->
            runBlocking {
                val time = fleet.start()
                echo("release 1 in force on ${fleet.hosts.size} hosts after ${time.inWholeMilliseconds} ms")
                if (serve) serve(fleet) else DemoScenario(fleet, ::echo).run()
            }
        }
        // Exits explicitly: idle connections keep threads of the HTTP clients alive for a minute.
        throw ProgramResult(if (passed) 0 else 1)
    }

    private fun serve(fleet: DemoFleet): Boolean {
        fleet.hosts.forEach {
            echo("${it.name}: API http://${it.callerAddress}  operators http://${it.operatorAddress}")
        }
        echo("log service http://${fleet.standins.logServer.address}")
        echo("live list http://${fleet.standins.liveListServer.address}")
        fleet.standins.engines.forEach { (id, engine) -> echo("engine $id http://${engine.server.address}") }
        echo("plain service http://${fleet.standins.serviceServer.address}")
        echo("models: ${DemoRelease.models.joinToString { it.id.value }}")
        echo("routes: ${DemoRelease.routes.joinToString { "/svc/${it.id}" }}")
        echo("key: ${DemoRelease.tenants.first().key}")
        echo("operators' token: ${fleet.operatorToken}")
        echo(
            "try: curl -N http://${fleet.hosts.first().callerAddress}/v1/chat/completions " +
                "-H 'Authorization: Bearer ${DemoRelease.tenants.first().key}' -d '" +
                """{"model":"${DemoRelease.models.first().id}","stream":true,"max_tokens":40,""" +
                """"messages":[{"role":"user","content":"Which plat shows lot 7?"}]}'""",
        )
        Thread.currentThread().join()
        return true
    }

    private companion object {
        const val MIN_HOSTS = 2
        const val DEFAULT_HOSTS = 4
        const val MAX_HOSTS = 16
    }
}
