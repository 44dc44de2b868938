package io.anvilvalve.bench.router

import io.anvilvalve.api.id.BackendServerId
import io.anvilvalve.api.id.DataCentreId
import io.anvilvalve.api.id.KeyHash
import io.anvilvalve.api.id.ModelId
import io.anvilvalve.api.id.NoteId
import io.anvilvalve.api.id.OrganisationId
import io.anvilvalve.api.id.ReleaseNumber
import io.anvilvalve.api.log.LogCodec
import io.anvilvalve.api.log.LogRecord
import io.anvilvalve.api.release.BackendServer
import io.anvilvalve.api.release.Change
import io.anvilvalve.api.release.Key
import io.anvilvalve.api.release.Model
import io.anvilvalve.api.release.Organisation
import io.anvilvalve.api.release.ReleaseNote
import io.anvilvalve.api.release.Role
import io.anvilvalve.host.EntryHost
import io.anvilvalve.net.HttpBackendServerClient
import io.anvilvalve.settings.HostSettings
import io.anvilvalve.standins.FakeLiveHostList
import io.anvilvalve.standins.FakeLogService
import kotlinx.coroutines.delay
import java.nio.file.Files
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** One entry host in this process, with each engine in a separate process. */
internal class BenchFleet(private val engineSpeed: Double) : AutoCloseable {
    private val directory = Files.createTempDirectory("anvilvalve-bench")
    private val prefill = engine("prefill", Role.PREFILL)
    private val decode = engine("decode", Role.DECODE)
    private val log = FakeLogService()
    private val host = entryHost()

    val hostAddress: String get() = "127.0.0.1:${host.callerPort}"
    val prefillServer: BackendServer = server("prefill", prefill, Role.PREFILL)
    val decodeServer: BackendServer = server("decode", decode, Role.DECODE)

    suspend fun start() {
        host.start()
        log.append(listOf(LogCodec.encode(LogRecord.Note(note()))))
        while (!host.isReady || host.status.release.value == 0L) delay(POLL)
    }

    override fun close() {
        host.close()
        listOf(prefill, decode).forEach { it.close() }
        directory.toFile().deleteRecursively()
    }

    private fun engine(name: String, role: Role) = EngineProcess(
        "engine",
        "--name=$name",
        "--role=$role",
        "--model=$MODEL",
        "--slots=$SLOTS",
        "--speed=$engineSpeed",
    )

    private fun entryHost(): EntryHost {
        val token = Files.writeString(directory.resolve("token"), "bench-operators-token")
        val settings = HostSettings(
            HostSettings.Host("host-1", DATA_CENTRE.value, "bench", "127.0.0.1"),
            logUrl = "http://127.0.0.1:1",
            liveListUrl = "http://127.0.0.1:1",
            HostSettings.Operators(token, "127.0.0.1", port = 0),
            HostSettings.Peers(token, "127.0.0.1", port = 0),
            HostSettings.Callers("127.0.0.1", port = 0),
        )
        return EntryHost(settings, log, FakeLiveHostList(lag = Duration.ZERO), HttpBackendServerClient())
    }

    private fun note(): ReleaseNote {
        val organisation = OrganisationId("bench")
        val changes = listOf(
            Change.PutModel(Model(ModelId(MODEL))),
            Change.PutOrganisation(Organisation(organisation, rate = 100_000_000, burst = 100_000_000)),
            Change.PutKey(Key(KeyHash.of(KEY), organisation)),
        )
        val servers = listOf(prefillServer, decodeServer).map(Change::PutBackendServer)
        return ReleaseNote(NoteId("bench"), ReleaseNumber(0), "bench", changes + servers)
    }

    private fun server(name: String, process: EngineProcess, role: Role) = BackendServer(
        BackendServerId(name),
        process.address,
        DATA_CENTRE,
        role,
        listOf(ModelId(MODEL)),
        slots = SLOTS,
    )

    companion object {
        const val MODEL = "map-reader"
        const val KEY = "bench-key"
        private const val SLOTS = 100
        private val DATA_CENTRE = DataCentreId("dc-1")
        private val POLL = 20.milliseconds
    }
}
