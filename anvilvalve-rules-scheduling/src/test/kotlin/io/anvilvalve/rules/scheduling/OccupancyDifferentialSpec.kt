package io.anvilvalve.rules.scheduling

import io.anvilvalve.api.id.HostId
import io.anvilvalve.api.id.RequestId
import io.anvilvalve.api.peer.WorkClass
import io.anvilvalve.api.release.BackendServer
import io.anvilvalve.api.release.Role
import io.kotest.assertions.withClue
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.ints.shouldBeGreaterThan
import io.kotest.matchers.ints.shouldBeLessThanOrEqual
import io.kotest.matchers.shouldBe
import kotlin.random.Random
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Guards against occupancy counts that become wrong when reports are lost, repeated or reordered, against servers that
 * are filled beyond their slots or KV memory, and against requests that get no reply or two different replies.
 */
class OccupancyDifferentialSpec :
    FunSpec({
        val servers = List(2) { server("p$it", Role.PREFILL, slots = 2) } +
            List(3) {
                server(
                    "d$it",
                    Role.DECODE,
                    slots = 2 + it,
                    centre = if (it ==
                        0
                    ) {
                        "b"
                    } else {
                        "a"
                    },
                ).copy(kvPieces = 12)
            }

        listOf(false, true).forEach { overbooking ->
            test("occupancy equals the naive reference after every event, overbooking $overbooking") {
                val placed = (1L..SEEDS).sumOf { seed ->
                    withClue("seed $seed") { Schedule(seed, servers, overbooking).run() }
                }
                placed shouldBeGreaterThan SEEDS.toInt() * 20
            }
        }
    }) {
    private class Schedule(seed: Long, private val servers: List<BackendServer>, private val overbooking: Boolean) {
        private val random = Random(seed)
        private val hosts = ReferenceHosts(random)

        // The timeouts never expire here, because the reference has no clock.
        private val settings = SchedulingSettings(
            overbooking = overbooking,
            queueBound = 6,
            startTimeout = 1_000_000.seconds,
            progressTimeout = 1_000_000.seconds,
        )
        private val driver = Driver(*servers.toTypedArray(), settings = settings)
        private var number = 0

        fun run(): Int {
            repeat(STEPS) {
                driver.now += random.nextInt(20).milliseconds
                step()
                check()
            }
            finish()
            hosts.waiting().shouldBeEmpty()
            hosts.replies.size shouldBe number - withdrawnWithoutReply
            driver.scheduler.heldByServer().values.forEach { it shouldBe (0 to 0) }
            return hosts.replies.size
        }

        private var withdrawnWithoutReply = 0

        private fun step() {
            when (random.nextInt(10)) {
                in 0..3 -> submit()
                in 4..7 -> hosts.nextReports().forEach(::report)
                8 -> repeatSubmit()
                else -> if (random.nextInt(4) == 0) withdraw() else send(SchedulingEvent.Tick)
            }
        }

        private fun submit() {
            val item = item(
                "${number++}",
                "o${random.nextInt(3)}",
                if (random.nextInt(4) == 0) WorkClass.BATCH else WorkClass.INTERACTIVE,
                prompt = 1 + random.nextInt(5_000),
                output = 1 + random.nextInt(3_000),
                budget = (100 + random.nextInt(3_000)).milliseconds,
            ).copy(origin = HostId("h${random.nextInt(2)}"))
            hosts.submitted(item)
            send(SchedulingEvent.Submitted(item, 1))
        }

        private fun repeatSubmit() {
            val id = (hosts.waiting() + hosts.running()).randomOrNull(random) ?: return
            send(SchedulingEvent.Submitted(checkNotNull(hosts.item(id)), 1))
        }

        private fun withdraw() {
            val id = (hosts.waiting() + hosts.running()).randomOrNull(random) ?: return
            if (id !in hosts.replies) withdrawnWithoutReply++
            hosts.ended(id)
            send(SchedulingEvent.Withdrawn(RequestId(id)))
        }

        private fun report(event: SchedulingEvent.Progressed) {
            hosts.reported(event)
            send(event)
        }

        private fun send(event: SchedulingEvent) =
            driver.send(event).filterIsInstance<SchedulingEffect.Reply>().forEach {
                hosts.replied(it.id.value, it.outcome)
            }

        private fun check() = servers.forEach { server ->
            val held = driver.held(server.id.value)
            withClue(server.id) { held shouldBe hosts.held(server.id.value) }
            val excess = if (overbooking && server.role == Role.DECODE) Overbooking.LIMIT else 0
            held.first shouldBeLessThanOrEqual server.slots + excess
            held.second shouldBeLessThanOrEqual server.kvPieces
        }

        /** Advances the clock past the deadlines of all waiting work, then ends the running attempts. */
        private fun finish() {
            repeat(10) {
                driver.now += 500.milliseconds
                send(SchedulingEvent.Tick)
                check()
            }
            listOf("h0", "h1").forEach { origin ->
                hosts.running().filter { hosts.item(it)?.origin == HostId(origin) }.forEach(hosts::ended)
                send(SchedulingEvent.OriginRemoved(HostId(origin)))
                check()
            }
        }
    }

    private companion object {
        const val SEEDS = 60L
        const val STEPS = 400
    }
}
