package io.anvilvalve.rules.routing

import io.anvilvalve.api.id.DataCentreId
import io.anvilvalve.api.log.Member
import io.anvilvalve.api.peer.PeerMessage
import io.anvilvalve.api.result.ResultCode
import io.anvilvalve.api.routing.Stage
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.booleans.shouldBeTrue
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.comparables.shouldBeGreaterThan
import io.kotest.matchers.comparables.shouldBeLessThan
import io.kotest.matchers.shouldBe
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Guards against graceful shutdowns that cut off requests or that the balancer does not detect. */
class DrainSpec :
    FunSpec({
        fun gossip(from: Member, sequence: Long, ready: Boolean, drainMillis: Int? = null) = PeerMessage.Gossip(
            member = from,
            sequence = sequence,
            heard = emptyList(),
            configuration = 0,
            directory = 0,
            usage = emptyList(),
            loads = emptyList(),
            attempts = emptyList(),
            ready = ready,
            drainMillis = drainMillis,
        )

        fun RoutingFixture.hear(host: String, ready: Boolean, sequence: Long = 1) =
            receive(member(host), gossip(member(host), sequence, ready))

        fun RoutingFixture.stream(outputTokens: Int, deadline: Duration? = null) =
            arrive("/sheets/1", promptTokens = 100, outputTokens, deadline = deadline)

        /** Serves one stream and one call, so that the host knows how long answers take. */
        fun RoutingFixture.serve() {
            val call = arrive("/drawers/1").forward
            val stream = stream(outputTokens = 100).forward
            advance(100.milliseconds)
            endAttempt(call, AttemptResult.Complete)
            advance(1_900.milliseconds)
            endAttempt(stream, AttemptResult.Complete)
        }

        fun List<RoutingEffect>.closings() = filterIsInstance<RoutingEffect.CloseConnections>()

        val engines = listOf(plain("p1"), engine("e1", Stage.DECODE))

        test("a host that drains is not ready at once and serves requests until the balancer has detected it") {
            val host = RoutingFixture()
            val effects = host.send(RoutingEvent.DrainRequested())
            effects.only<RoutingEffect.ReadyChanged>().ready shouldBe false
            effects.only<RoutingEffect.Draining>()
            host.advance(2.seconds).closings().shouldBeEmpty()
            host.arrive("/drawers/1").forward.server.service shouldBe plainService
        }

        test("later streams are refused as not executed, and the process exits when the running ones have ended") {
            val host = RoutingFixture(backends = engines)
            val running = host.stream(outputTokens = 100).forward
            host.send(RoutingEvent.DrainRequested())
            host.advance(3.seconds).closings().first().idleTime shouldBe 200.milliseconds
            host.stream(outputTokens = 10).refusal.code shouldBe ResultCode.DRAINING
            host.endAttempt(running, AttemptResult.Complete)
            host.advance(2.seconds).closings().last().accepting shouldBe false
            val counted = RoutingEvent.ConnectionsCounted(open = 0, accepting = false)
            host.send(counted).none<RoutingEffect.Exit>().shouldBeTrue()
            host.send(counted).only<RoutingEffect.Exit>()
        }

        class Late(
            val name: String,
            val path: String,
            val outputTokens: Int,
            val after: Duration,
            val served: Boolean,
            val othersReady: Boolean = true,
        )

        listOf(
            Late("a call is served until shortly before the limit", "/drawers/1", 0, 6.seconds, served = true),
            Late("a call that would be cut off is refused", "/drawers/1", 0, 7_250.milliseconds, served = false),
            Late("a stream that can end in time is served", "/sheets/1", 100, 2.seconds, served = true),
            Late("a stream that would be cut off is refused", "/sheets/1", 400, 1.seconds, served = false),
            Late("a stream that may be cut off is refused", "/sheets/1", 250, 1.seconds, served = false),
            Late("the same stream is served if few others are ready", "/sheets/1", 250, 1.seconds, true, false),
            Late("a stream is refused after the balancer has reacted", "/sheets/1", 4, 3.seconds, served = false),
        ).forEach { case ->
            test("in a planned stop ${case.name}") {
                val host = RoutingFixture(backends = engines)
                host.serve()
                host.send(RoutingEvent.DrainRequested())
                host.advance(case.after)
                host.hear("h2", ready = case.othersReady)
                val arrival = host.arrive(case.path, promptTokens = 100, outputTokens = case.outputTokens)
                if (case.served) arrival.forward else arrival.refusal.code shouldBe ResultCode.DRAINING
            }
        }

        test("a host that has measured no answers serves streams until the balancer has reacted") {
            val host = RoutingFixture(backends = engines)
            host.send(RoutingEvent.DrainRequested())
            host.hear("h2", ready = true)
            host.advance(2_500.milliseconds)
            host.stream(outputTokens = 400).forward.server.service shouldBe modelService
        }

        test("a stream of a caller that was refused before is served although it may be cut off") {
            val host = RoutingFixture(backends = engines)
            host.serve()
            host.send(RoutingEvent.DrainRequested())
            host.advance(1.seconds)
            host.hear("h2", ready = true)
            host.stream(outputTokens = 250).refusal.code shouldBe ResultCode.DRAINING
            host.stream(outputTokens = 250, deadline = 13.seconds).forward.server.service shouldBe modelService
        }

        test("a stream that waits in a planned stop until it would be cut off is refused and not sent") {
            val host = RoutingFixture(backends = engines)
            host.serve()
            val running = (1..8).map { host.stream(outputTokens = 100).forward }
            host.send(RoutingEvent.DrainRequested())
            host.advance(1.seconds)
            val waiting = host.stream(outputTokens = 240)
            waiting.isQueued.shouldBeTrue()
            host.advance(1_900.milliseconds).only<RoutingEffect.Refuse>().id shouldBe waiting.id
            host.endAttempt(running.first(), AttemptResult.Complete).none<RoutingEffect.Forward>().shouldBeTrue()
        }

        test("a stream whose prompt was processed too late to end in time is refused and not sent") {
            val host = RoutingFixture(backends = engines)
            host.serve()
            host.updateBackend(engine("e2", Stage.PREFILL))
            host.send(RoutingEvent.DrainRequested())
            host.advance(2.seconds)
            val prefill = host.stream(outputTokens = 250).prefill
            host.advance(700.milliseconds)
            val done = RoutingEvent.PrefillEnded(prefill.id, prefill.attempt, PrefillResult.Done("handle"))
            host.send(done).only<RoutingEffect.Refuse>().code shouldBe ResultCode.DRAINING
        }

        test("a caller refused by a stopping host returns at once only if another host is ready") {
            val host = RoutingFixture(backends = engines)
            host.send(RoutingEvent.DrainRequested())
            host.advance(4.seconds)
            val waits = listOf(true, false).mapIndexed { index, ready ->
                host.hear("h2", ready, sequence = index + 1L)
                checkNotNull(host.stream(outputTokens = 10).refusal.retryAfter)
            }
            waits.first() shouldBeLessThan 300.milliseconds
            waits.last() shouldBeGreaterThan 1_700.milliseconds
        }

        class Other(val ready: Boolean, val drainMillis: Int? = null, val dataCentre: String = "dc-1")

        class Leaving(val name: String, val others: List<Other>, val accepting: Boolean, val host: String = "h1")

        listOf(
            Leaving("enough others are ready", listOf(true, true, false).map { Other(ready = it) }, accepting = false),
            Leaving("too few others are ready", listOf(true, false, false).map { Other(ready = it) }, accepting = true),
            Leaving("no other host is ready", List(2) { Other(ready = false) }, accepting = true),
            Leaving("the others stop later", List(2) { Other(ready = false, drainMillis = 6_000) }, accepting = false),
            Leaving(
                "the others stop later and are in another data centre",
                List(2) { Other(ready = false, drainMillis = 6_000, dataCentre = "dc-2") },
                accepting = true,
            ),
            Leaving(
                "a host of another data centre is ready",
                List(2) { Other(ready = true, dataCentre = "dc-2") },
                accepting = false,
            ),
            Leaving("the others stop sooner", List(2) { Other(ready = false, drainMillis = 3_000) }, accepting = true),
            Leaving("the others accept no connections", List(2) { Other(false, drainMillis = 0) }, accepting = true),
            Leaving(
                "hosts with higher ids stop at once",
                List(2) {
                    Other(false, drainMillis = 4_775)
                },
                accepting = false,
            ),
            Leaving(
                "hosts with lower ids stop at once",
                List(2) {
                    Other(false, 4_775)
                },
                accepting = true,
                host = "h9",
            ),
        ).forEach { case ->
            test("a stopping host to which callers come accepts connections: ${case.accepting}, because ${case.name}") {
                val host = RoutingFixture(self = member(case.host))
                val call = host.arrive("/drawers/1").forward
                host.send(RoutingEvent.DrainRequested())
                host.advance(1.seconds)
                host.endAttempt(call, AttemptResult.Complete)
                host.endAttempt(host.arrive("/drawers/2").forward, AttemptResult.Complete)
                host.advance(1_475.milliseconds)
                case.others.forEachIndexed { index, other ->
                    val from = member("h${index + 2}").copy(dataCentre = DataCentreId(other.dataCentre))
                    host.receive(from, gossip(from, 1, other.ready, other.drainMillis))
                }
                host.advance(100.milliseconds).closings().last().accepting shouldBe case.accepting
            }
        }

        test("a stopping host to which no callers come accepts no connections, although no other host serves") {
            val host = RoutingFixture()
            host.endAttempt(host.arrive("/drawers/1").forward, AttemptResult.Complete)
            host.send(RoutingEvent.DrainRequested())
            host.hear("h2", ready = false)
            host.advance(2_525.milliseconds).closings().first().accepting shouldBe false
        }

        test("a host tells the others at once that it is not ready any more") {
            val host = RoutingFixture()
            host.hear("h2", ready = true)
            host.advance(400.milliseconds)
            val frames = host.send(RoutingEvent.DrainRequested()).filterIsInstance<RoutingEffect.SendFrame>()
            frames.map { it.frame.message }.filterIsInstance<PeerMessage.Gossip>().single().ready shouldBe false
        }

        test("a host that is stopped during its start exits as soon as no request is in flight") {
            val host = RoutingFixture()
            host.endAttempt(host.arrive("/drawers/1").forward, AttemptResult.Complete)
            host.send(RoutingEvent.DrainRequested(announced = false))
            host.advance(25.milliseconds).only<RoutingEffect.CloseConnections>().accepting shouldBe false
            val counted = RoutingEvent.ConnectionsCounted(open = 0, accepting = false)
            host.send(counted)
            host.send(counted).only<RoutingEffect.Exit>()
        }

        test("a request that is read after the exit was decided is refused") {
            val host = RoutingFixture()
            host.send(RoutingEvent.DrainRequested(announced = false))
            host.advance(25.milliseconds)
            repeat(2) { host.send(RoutingEvent.ConnectionsCounted(open = 0, accepting = false)) }
            host.arrive("/drawers/1").refusal.code shouldBe ResultCode.DRAINING
        }

        class Case(val name: String, val open: Int, val accepting: Boolean, val running: Boolean)

        listOf(
            Case("a connection is open", open = 1, accepting = false, running = false),
            Case("connections were still accepted when they were counted", open = 0, accepting = true, running = false),
            Case("a request is in flight", open = 0, accepting = false, running = true),
        ).forEach { case ->
            test("the process does not exit while ${case.name}") {
                val host = RoutingFixture(backends = engines)
                val running = host.stream(outputTokens = 100).forward
                host.send(RoutingEvent.DrainRequested())
                if (!case.running) host.endAttempt(running, AttemptResult.Complete)
                host.advance(3.seconds)
                val counted = RoutingEvent.ConnectionsCounted(case.open, case.accepting)
                repeat(2) { host.send(counted).none<RoutingEffect.Exit>().shouldBeTrue() }
            }
        }

        test("idle connections are closed and others accepted while a request is in flight") {
            val host = RoutingFixture(backends = engines)
            val running = host.stream(outputTokens = 100).forward
            host.send(RoutingEvent.DrainRequested())
            val closings = host.advance(4.seconds).closings()
            closings.map { it.accepting }.distinct() shouldBe listOf(true)
            host.endAttempt(running, AttemptResult.Complete)
            host.advance(25.milliseconds).closings().single().accepting shouldBe false
        }

        test("requests still running at the limit are ended before the platform kills the process") {
            val host = RoutingFixture(backends = engines)
            host.stream(outputTokens = 100)
            host.send(RoutingEvent.DrainRequested())
            host.advance(7.seconds).none<RoutingEffect.Fail>().shouldBeTrue()
            val effects = host.advance(400.milliseconds)
            effects.only<RoutingEffect.Fail>().code shouldBe ResultCode.STREAM_BROKEN
            effects.none<RoutingEffect.Exit>().shouldBeTrue()
            host.advance(200.milliseconds).only<RoutingEffect.Exit>()
        }
    })
