package io.anvilvalve.demo

import io.anvilvalve.api.id.DataCentreId
import io.anvilvalve.api.id.HostId
import io.anvilvalve.api.id.RegionId
import io.anvilvalve.api.log.LogCodec
import io.anvilvalve.api.log.LogRecord
import io.anvilvalve.api.port.LiveHost
import io.anvilvalve.demo.DemoHost.Companion.LOOPBACK
import io.anvilvalve.host.EntryHost
import io.anvilvalve.net.HttpBackendServerClient
import io.anvilvalve.net.HttpClients
import io.anvilvalve.net.HttpLiveHostList
import io.anvilvalve.net.HttpLogService
import io.anvilvalve.settings.HostSettings
import okhttp3.OkHttpClient
import java.nio.file.Files
import java.util.UUID
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TimeSource

/** Runs the stand-ins and the entry hosts of the demo in one process. */
internal class DemoFleet(hostCount: Int) : AutoCloseable {
    private val directory = Files.createTempDirectory("anvilvalve-demo")
    private val tokenFile = directory.resolve("operators.token")
    private val secretFile = directory.resolve("peers.secret")
    val operatorToken = UUID.randomUUID().toString()
    val standins = Standins()
    val http: OkHttpClient = HttpClients.create()
    val log = HttpLogService("http://${standins.logServer.address}")
    val hosts: List<DemoHost> by lazy { (1..hostCount).map(::createHost) }
    private val stoppedHosts = mutableSetOf<DemoHost>()

    val running: List<DemoHost> get() = hosts - stoppedHosts

    /** Starts the hosts, publishes the release and returns the time until it was in force on all hosts. */
    suspend fun start(): Duration {
        Files.writeString(tokenFile, operatorToken)
        Files.writeString(secretFile, UUID.randomUUID().toString())
        standins.warmUp(HttpBackendServerClient())
        hosts.forEach { it.host.start() }
        hosts.forEachIndexed { index, host -> standins.liveList.put(liveHost(index, host)) }
        append(LogRecord.Note(DemoRelease.firstNote(standins)))
        val published = TimeSource.Monotonic.markNow()
        awaitUntil("the release is in force", START_TIMEOUT) {
            hosts.all { it.host.status.release.value == 1L && it.host.isReady }
        }
        return published.elapsedNow()
    }

    /** Appends [record] to the log as operators do; throws [IllegalStateException] if the log rejects it. */
    suspend fun append(record: LogRecord) {
        log.append(listOf(LogCodec.encode(record))).onLeft { error("the log rejected the record: $it") }
    }

    /** Closes [host] after its planned stop has finished and removes it from [running]. */
    fun closeStopped(host: DemoHost) {
        host.host.close()
        stoppedHosts += host
    }

    override fun close() {
        running.forEach { it.host.close() }
        standins.close()
        http.dispatcher.executorService.shutdown()
        http.connectionPool.evictAll()
        directory.toFile().deleteRecursively()
    }

    private fun createHost(number: Int): DemoHost {
        val settings = HostSettings(
            HostSettings.Host("host-$number", dataCentre(number - 1).value, REGION, LOOPBACK),
            logUrl = "http://${standins.logServer.address}",
            liveListUrl = "http://${standins.liveListServer.address}",
            HostSettings.Operators(tokenFile, LOOPBACK, port = 0),
            HostSettings.Peers(secretFile, LOOPBACK, port = 0),
            HostSettings.Callers(LOOPBACK, port = 0),
        )
        val host = EntryHost(
            settings,
            HttpLogService(settings.logUrl),
            HttpLiveHostList(settings.liveListUrl),
            HttpBackendServerClient(),
        )
        return DemoHost("host-$number", host)
    }

    private fun liveHost(index: Int, host: DemoHost) = LiveHost(
        HostId(host.name),
        LOOPBACK,
        host.host.peerPort,
        dataCentre(index),
        RegionId(REGION),
        leaving = false,
    )

    private fun dataCentre(index: Int): DataCentreId = DemoRelease.DATA_CENTRES[index % DemoRelease.DATA_CENTRES.size]

    private companion object {
        const val REGION = "north"
        val START_TIMEOUT = 30.seconds
    }
}
