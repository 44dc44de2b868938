package io.anvilvalve.rules.routing

import io.anvilvalve.api.peer.PeerMessage
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Four hosts that receive up to thirty times an organisation's quota in requests.
 *
 * A tenth of their messages is lost, one host is partitioned off for some time, and all hosts restart halfway through.
 */
internal class QuotaSimulation(seed: Long, private val size: Size, demand: Demand) {
    /** When the requests exceed the quota. */
    enum class Demand {
        STEADY,

        /** From at most 4 s before the restart on; a tenth of the load before that. */
        LATE,
    }

    /** A quota, the cost of a request, and the number of requests that a host gets in 100 steps. */
    enum class Size(val ratePerSecond: Double, val burst: Double, val cost: Int, val requests: Int) {
        /** The slack is as large as the quota of a window; the load is thirty times the rate. */
        SMALL(10_000.0, 40_000.0, 2_000, 100),

        /**
         * The slack is an eighth of the quota of a window, as for the largest organisation of a deployment; the load is
         * seven and a half times the rate, its worst case.
         */
        LARGE(115_000.0, 115_000.0, 20_000, 27),
        ;

        /** Tokens that the operators allow in a window: the quota plus a tenth and 120,000 tokens. */
        val ceiling: Double get() = (ratePerSecond * WINDOW_SECONDS + burst) * 1.1 + 120_000
    }

    private val random = Random(seed)
    private val isolatedHost = 1 + random.nextInt(HOSTS)
    private val peakFrom =
        if (demand == Demand.LATE) RESTART_STEPS.first - 10 - random.nextInt(MAX_PEAK_LEAD_STEPS) else 0
    private var now: Duration = 1.seconds
    private var stored: RoutingEffect.PutState? = null
    private var hosts = start(incarnation = 1)

    /** Maximum number of tokens admitted in any window. */
    fun maxAdmittedInWindow(): Double {
        val admitted = (0 until STEPS).map(::step)
        return (0..STEPS - WINDOW_STEPS).maxOf { from -> admitted.subList(from, from + WINDOW_STEPS).sum() }.toDouble()
    }

    private fun step(step: Int): Int {
        now += STEP
        if (step in RESTART_STEPS) return 0
        if (step == RESTART_STEPS.last + 1) hosts = start(incarnation = 2)
        hosts.forEach { it.now = now }
        val effects = hosts.associateWith { it.send(RoutingEvent.Tick) + arrivals(it, step) }
        val partitioned = step in PARTITION_STEPS
        effects.forEach { (from, sent) -> deliver(from, sent, partitioned) }
        effects.values.flatten().filterIsInstance<RoutingEffect.PutState>()
            .lastOrNull { it.key != ServiceVersions.KEY }?.let { stored = it }
        return effects.values.flatten().count { it is RoutingEffect.Forward } * size.cost
    }

    private fun arrivals(host: RoutingFixture, step: Int): List<RoutingEffect> =
        (0 until arrivalCount(if (step < peakFrom) LOW_DIVISOR else 1))
            .flatMap { host.arrive("/drawers/1", size.cost, 0).effects }

    /** Zero, one or two, so that some requests arrive at the same time. */
    private fun arrivalCount(divisor: Int): Int =
        (1..2).count { random.nextInt(2 * STEPS_PER_COUNT * divisor) < size.requests }

    private fun deliver(from: RoutingFixture, sent: List<RoutingEffect>, partitioned: Boolean) {
        for (frame in sent.filterIsInstance<RoutingEffect.SendFrame>()) {
            val to = hosts.firstOrNull { it.self.host == frame.to.host } ?: continue
            val blocked = partitioned && (isIsolated(from) || isIsolated(to))
            if (!blocked && random.nextInt(LOSS_DIVISOR) > 0) to.receive(from.self, frame.frame.message)
        }
    }

    private fun isIsolated(host: RoutingFixture) = host.self.host.value == "h$isolatedHost"

    private fun start(incarnation: Int): List<RoutingFixture> {
        val started = (1..HOSTS).map {
            RoutingFixture(
                self = member("h$it", incarnation),
                configuration = configuration(1, size.ratePerSecond, size.burst),
                backends = listOf(plain("p", slots = 1_000_000)),
                now = now,
                usage = stored?.value,
            )
        }
        // The hosts know each other before the first request, as if they had read the store.
        started.forEach { to -> started.filter { it !== to }.forEach { to.receive(it.self, hello(it)) } }
        return started
    }

    private fun hello(host: RoutingFixture) =
        PeerMessage.Gossip(host.self, 0, emptyList(), -1, -1, emptyList(), emptyList(), emptyList())

    companion object {
        private const val HOSTS = 4
        private const val WINDOW_SECONDS = 8
        private const val STEPS_PER_COUNT = 100
        private const val LOSS_DIVISOR = 10
        private const val LOW_DIVISOR = 10
        private const val STEPS = 1_200
        private val STEP = 25.milliseconds
        private const val WINDOW_STEPS = WINDOW_SECONDS * 40
        private val PARTITION_STEPS = 200..500

        /** All processes are down for 2 s; the platform needs at least that long to restart them. */
        private val RESTART_STEPS = 600 until 680
        private const val MAX_PEAK_LEAD_STEPS = 150
    }
}
