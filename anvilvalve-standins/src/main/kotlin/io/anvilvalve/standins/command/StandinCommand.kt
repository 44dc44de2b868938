package io.anvilvalve.standins.command

import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.core.subcommands
import com.github.ajalt.clikt.parameters.options.default
import com.github.ajalt.clikt.parameters.options.multiple
import com.github.ajalt.clikt.parameters.options.option
import com.github.ajalt.clikt.parameters.types.double
import com.github.ajalt.clikt.parameters.types.enum
import com.github.ajalt.clikt.parameters.types.int
import io.anvilvalve.api.id.DataCentreId
import io.anvilvalve.api.id.HostId
import io.anvilvalve.api.id.ModelId
import io.anvilvalve.api.id.RegionId
import io.anvilvalve.api.port.LiveHost
import io.anvilvalve.api.release.Role
import io.anvilvalve.standins.EngineConfig
import io.anvilvalve.standins.FakeEngine
import io.anvilvalve.standins.FakeLiveHostList
import io.anvilvalve.standins.FakeLogService
import io.anvilvalve.standins.FakePlainService
import io.anvilvalve.standins.LogServiceConfig
import io.anvilvalve.standins.http.HttpKvNetwork
import io.anvilvalve.standins.http.StandinServer
import io.anvilvalve.standins.http.serveEngine
import io.anvilvalve.standins.http.serveLiveList
import io.anvilvalve.standins.http.serveLog
import io.anvilvalve.standins.http.servePlainService
import kotlin.time.Duration

/** Returns the command that serves one stand-in, chosen by subcommand, until the process ends. */
internal fun standinCommand(): CliktCommand = StandinCommand().subcommands(
    EngineCommand(),
    LogCommand(),
    LiveListCommand(),
    ServiceCommand(),
)

private class StandinCommand : CliktCommand(name = "anvilvalve-standin") {
    override fun run() = Unit
}

private abstract class ServeCommand(name: String) : CliktCommand(name) {
    protected val port by option(help = "port on the loopback address; 0 selects a free port").int().default(0)

    protected abstract fun serve(): StandinServer

    override fun run() {
        val server = serve()
        echo("listening on ${server.address}")
        Thread.currentThread().join()
    }
}

private class EngineCommand : ServeCommand("engine") {
    private val name by option(help = "name of the engine").default("engine")
    private val role by option(help = "role of the engine").enum<Role>().default(Role.DECODE)
    private val model by option(help = "loaded model; may be repeated").multiple()
    private val slots by option(help = "requests decoded at once").int().default(EngineConfig().slots)
    private val speed by option(help = "factor applied to the engine's speed").double().default(1.0)

    override fun serve(): StandinServer {
        val config = EngineConfig(role = role, slots = slots).faster(speed)
        val models = model.associate { ModelId(it) to "1" }.ifEmpty { config.models }
        return serveEngine(FakeEngine(name, config.copy(models = models), HttpKvNetwork()), port)
    }
}

private class LogCommand : ServeCommand("log") {
    private val retained by option(help = "number of records to retain").int()
        .default(LogServiceConfig().retainedRecords)

    override fun serve() = serveLog(FakeLogService(LogServiceConfig(retainedRecords = retained)), port)
}

private class LiveListCommand : ServeCommand("live-list") {
    private val host by option(help = "id,address,peer port,data centre,region; may be repeated").multiple()

    override fun serve(): StandinServer {
        val list = FakeLiveHostList(lag = Duration.ZERO)
        host.forEach { list.put(parseHost(it)) }
        return serveLiveList(list, port)
    }

    private fun parseHost(line: String): LiveHost {
        val (id, address, peerPort, dataCentre, region) = line.split(',')
        return LiveHost(
            HostId(id),
            address,
            peerPort.toInt(),
            DataCentreId(dataCentre),
            RegionId(region),
            leaving = false,
        )
    }
}

private class ServiceCommand : ServeCommand("service") {
    override fun serve() = servePlainService(FakePlainService(), port)
}
