package io.anvilvalve.bench.policy

import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.core.Context
import com.github.ajalt.clikt.parameters.options.default
import com.github.ajalt.clikt.parameters.options.option
import com.github.ajalt.clikt.parameters.types.double
import com.github.ajalt.clikt.parameters.types.int
import io.anvilvalve.api.id.BackendServerId
import io.anvilvalve.api.id.DataCentreId
import io.anvilvalve.api.id.HostId
import io.anvilvalve.api.id.ModelId
import io.anvilvalve.api.id.OrganisationId
import io.anvilvalve.api.id.RequestId
import io.anvilvalve.api.peer.Phase
import io.anvilvalve.api.peer.PlacementOutcome
import io.anvilvalve.api.peer.WorkClass
import io.anvilvalve.api.peer.WorkItem
import io.anvilvalve.api.release.BackendServer
import io.anvilvalve.api.release.Model
import io.anvilvalve.api.release.Role
import io.anvilvalve.rules.scheduling.PoolScheduler
import io.anvilvalve.rules.scheduling.SchedulingEffect
import io.anvilvalve.rules.scheduling.SchedulingEvent
import org.HdrHistogram.Histogram
import java.util.Locale
import kotlin.random.Random
import kotlin.time.Duration.Companion.microseconds

/** `anvilvalve-bench scheduler`: measures the real time that the pool scheduler takes per event, on one core. */
internal class SchedulerCommand : CliktCommand(name = "scheduler") {
    private val servers by option("--servers", help = "servers of the pool").int().default(DEFAULT_SERVERS)
    private val requests by option("--requests", help = "requests after the warm-up").int().default(DEFAULT_REQUESTS)
    private val load by option("--load", help = "offered load as a multiple of the decode slots").double().default(1.2)

    override fun help(context: Context): String = "Measures the scheduler's time per event."

    override fun run() {
        val simulation = Simulation()
        val pool = PoolDriver(simulation, servers, load)
        pool.start(requests + WARM_UP)
        simulation.run()
        val nanos = pool.nanos
        echo(
            "servers %d load %.1f events %d mean_us %.1f p50_us %.1f p99_us %.1f max_us %.1f".format(
                Locale.ROOT,
                servers,
                load,
                nanos.totalCount,
                nanos.mean / NANOS_PER_MICRO,
                nanos.getValueAtPercentile(MEDIAN_PERCENTILE) / NANOS_PER_MICRO,
                nanos.getValueAtPercentile(TAIL_PERCENTILE) / NANOS_PER_MICRO,
                nanos.maxValue / NANOS_PER_MICRO,
            ),
        )
    }

    /** Drives the scheduler of a pool whose requests all take the same time, so that [load] sets the slots in use. */
    private class PoolDriver(private val simulation: Simulation, private val servers: Int, private val load: Double) {
        private val random = Random(1)
        private val scheduler = PoolScheduler()
        private var submitted = 0
        val nanos = Histogram(2)

        fun start(requests: Int) {
            send(SchedulingEvent.ServersChanged(List(servers) { server(it) }, listOf(Model(MODEL))))
            val arrivalInterval = DECODE_MICROS / (servers * DECODE_SHARE * SLOTS * load)
            repeat(requests) { simulation.after((it * arrivalInterval).toLong()) { submit(it) } }
            simulation.every(TICK_MICROS, (requests * arrivalInterval).toLong()) { send(SchedulingEvent.Tick) }
        }

        private fun submit(number: Int) {
            submitted = number
            send(SchedulingEvent.Submitted(item(number), 1))
        }

        private fun send(event: SchedulingEvent) {
            val start = System.nanoTime()
            val effects = scheduler.reduce(event, simulation.now.microseconds)
            if (submitted > WARM_UP) nanos.recordValue(System.nanoTime() - start)
            effects.filterIsInstance<SchedulingEffect.Reply>()
                .filter { it.outcome is PlacementOutcome.Placed }
                .forEach { run(it.id) }
        }

        private fun run(id: RequestId) {
            fun report(at: Long, phase: Phase, tokens: Int = 0, micros: Long = 0) = simulation.after(at) {
                send(SchedulingEvent.Progressed(id, 1, phase, tokens, micros.microseconds))
            }
            report(1, Phase.PREFILL_STARTED)
            report(PREFILL_MICROS, Phase.PREFILL_FINISHED, 0, PREFILL_MICROS)
            report(PREFILL_MICROS * 2, Phase.FIRST_TOKEN, 1, PREFILL_MICROS / 2)
            report(DECODE_MICROS, Phase.DECODE_FINISHED, ANSWER_TOKENS, DECODE_MICROS)
        }

        private fun item(number: Int) = WorkItem(
            id = RequestId(number.toString()),
            origin = HostId("h"),
            originDataCentre = DataCentreId("c${random.nextInt(DATA_CENTRES)}"),
            organisation = OrganisationId("o${random.nextInt(ORGANISATIONS)}"),
            model = MODEL,
            workClass = if (random.nextInt(DATA_CENTRES) == 0) WorkClass.BATCH else WorkClass.INTERACTIVE,
            promptTokens = PROMPT_TOKENS,
            maxTokens = ANSWER_TOKENS * 2,
            prefixHashes = listOf(random.nextLong(ORGANISATIONS.toLong())),
        )

        private fun server(index: Int) = BackendServer(
            id = BackendServerId("s$index"),
            address = "127.0.0.1:1",
            dataCentre = DataCentreId("c${index % DATA_CENTRES}"),
            role = if (index < servers * DECODE_SHARE) Role.DECODE else Role.PREFILL,
            models = listOf(MODEL),
        )
    }

    private companion object {
        val MODEL = ModelId("m")
        const val DEFAULT_SERVERS = 600
        const val DEFAULT_REQUESTS = 100_000
        const val WARM_UP = 50_000
        const val NANOS_PER_MICRO = 1_000.0
        const val MEDIAN_PERCENTILE = 50.0
        const val TAIL_PERCENTILE = 99.0
        const val DECODE_SHARE = 0.6
        const val SLOTS = 20
        const val DECODE_MICROS = 5_000_000L
        const val PREFILL_MICROS = 80_000L
        const val TICK_MICROS = 50_000L
        const val ANSWER_TOKENS = 200
        const val PROMPT_TOKENS = 1_500
        const val DATA_CENTRES = 4
        const val ORGANISATIONS = 200
    }
}
