package io.anvilvalve.rules.routing

import io.anvilvalve.api.id.DataCentreId
import io.anvilvalve.api.log.Member
import io.anvilvalve.api.peer.PeerMessage
import io.anvilvalve.api.result.ResultCode
import io.anvilvalve.api.routing.Stage
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.booleans.shouldBeTrue
import io.kotest.matchers.comparables.shouldBeGreaterThan
import io.kotest.matchers.comparables.shouldBeLessThan
import io.kotest.matchers.shouldBe
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Guards against graceful shutdowns that cut off requests or that the balancer does not detect. */
class DrainSpec :
    FunSpec({
        test("a host that drains is not ready at once and serves requests until the balancer has detected it") {
            val host = RoutingFixture()
            val effects = host.send(RoutingEvent.DrainRequested())
            effects.only<RoutingEffect.ReadyChanged>().ready shouldBe false
            effects.only<RoutingEffect.Draining>()
            host.advance(2.seconds)
            host.arrive("/drawers/1").forward.server.service shouldBe plainService
        }

        test("later streams are refused as not executed, and the process exits when the running ones have ended") {
            val host = RoutingFixture(backends = listOf(engine("e1", Stage.DECODE)))
            val running = host.arrive("/sheets/1", promptTokens = 100, outputTokens = 100).forward
            host.send(RoutingEvent.DrainRequested())
            host.advance(3.seconds).none<RoutingEffect.Exit>().shouldBeTrue()
            host.arrive("/sheets/2").refusal.code shouldBe ResultCode.DRAINING
            host.endAttempt(running, AttemptResult.Complete)
            host.advance(25.milliseconds).only<RoutingEffect.CloseConnections>().accepting shouldBe false
            host.send(RoutingEvent.ConnectionsCounted(open = 0, accepting = false)).only<RoutingEffect.Exit>()
        }

        class Late(
            val name: String,
            val path: String,
            val outputTokens: Int,
            val after: Duration,
            val served: Boolean,
            val otherReady: Boolean = true,
        )

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

        listOf(
            Late("a call is served until shortly before the limit", "/drawers/1", 0, 6.seconds, served = true),
            Late("a call that would be cut off is refused", "/drawers/1", 0, 7_250.milliseconds, served = false),
            Late("a short stream is served before the balancer reacts", "/sheets/1", 40, 1.seconds, served = true),
            Late("a stream that would be cut off is refused", "/sheets/1", 400, 1.seconds, served = false),
            Late("a stream that may be cut off is refused", "/sheets/1", 150, 1.seconds, served = false),
            Late(
                "a stream that may be cut off is served if few other hosts are ready",
                "/sheets/1",
                150,
                1.seconds,
                true,
                false,
            ),
            Late("a stream is refused after the balancer has reacted", "/sheets/1", 4, 3.seconds, served = false),
        ).forEach { case ->
            test("in a planned stop ${case.name}") {
                val host = RoutingFixture(backends = listOf(plain("p1"), engine("e1", Stage.DECODE)))
                host.send(RoutingEvent.DrainRequested())
                host.advance(case.after)
                host.hear("h2", ready = case.otherReady)
                val arrival = host.arrive(case.path, promptTokens = 100, outputTokens = case.outputTokens)
                if (case.served) arrival.forward else arrival.refusal.code shouldBe ResultCode.DRAINING
            }
        }

        test("a caller refused by a stopping host returns at once only if another host is ready") {
            val host = RoutingFixture(backends = listOf(engine("e1", Stage.DECODE)))
            host.send(RoutingEvent.DrainRequested())
            host.advance(4.seconds)
            val waits = listOf(true, false).mapIndexed { index, ready ->
                host.hear("h2", ready, sequence = index + 1L)
                checkNotNull(host.arrive("/sheets/1", promptTokens = 100, outputTokens = 10).refusal.retryAfter)
            }
            waits.first() shouldBeLessThan 300.milliseconds
            waits.last() shouldBeGreaterThan 1_700.milliseconds
        }

        class Other(val ready: Boolean, val drainMillis: Int? = null, val dataCentre: String = "dc-1")

        class Leaving(val name: String, val others: List<Other>, val accepting: Boolean)

        listOf(
            Leaving("another host is ready", listOf(Other(ready = true), Other(ready = false)), accepting = false),
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
        ).forEach { case ->
            test("a stopping host to which callers come accepts connections: ${case.accepting}, because ${case.name}") {
                val host = RoutingFixture()
                host.send(RoutingEvent.DrainRequested())
                host.advance(2_500.milliseconds)
                case.others.forEachIndexed { index, other ->
                    val from = member("h${index + 2}").copy(dataCentre = DataCentreId(other.dataCentre))
                    host.receive(from, gossip(from, 1, other.ready, other.drainMillis))
                }
                host.endAttempt(host.arrive("/drawers/1").forward, AttemptResult.Complete)
                host.advance(25.milliseconds).only<RoutingEffect.CloseConnections>().accepting shouldBe case.accepting
            }
        }

        test("a stopping host to which no callers come accepts no connections, although no other host serves") {
            val host = RoutingFixture()
            host.endAttempt(host.arrive("/drawers/1").forward, AttemptResult.Complete)
            host.send(RoutingEvent.DrainRequested())
            host.hear("h2", ready = false)
            host.advance(
                2_525.milliseconds,
            ).filterIsInstance<RoutingEffect.CloseConnections>().first().accepting shouldBe
                false
        }

        test("a host tells the others at once that it is not ready any more") {
            val host = RoutingFixture()
            host.hear("h2", ready = true)
            host.advance(400.milliseconds)
            host.send(RoutingEvent.DrainRequested())
            val frames = host.advance(25.milliseconds).filterIsInstance<RoutingEffect.SendFrame>()
            frames.map { it.frame.message }.filterIsInstance<PeerMessage.Gossip>().single().ready shouldBe false
        }

        test("a stream of a caller that was refused before is served although it may be cut off") {
            val host = RoutingFixture(backends = listOf(engine("e1", Stage.DECODE)))
            host.send(RoutingEvent.DrainRequested())
            host.hear("h2", ready = true)
            host.advance(1.seconds)
            host.arrive("/sheets/1", 100, outputTokens = 150).refusal.code shouldBe ResultCode.DRAINING
            host.hear("h2", ready = true, sequence = 2)
            host.arrive("/sheets/1", 100, outputTokens = 150, deadline = 13.seconds).forward
        }

        test("a stream that waits in a planned stop until it would be cut off is refused and not sent") {
            val host = RoutingFixture(backends = listOf(engine("e1", Stage.DECODE)))
            val running = (1..8).map { host.arrive("/sheets/$it", promptTokens = 100, outputTokens = 100).forward }
            host.send(RoutingEvent.DrainRequested())
            host.advance(1.seconds)
            val waiting = host.arrive("/sheets/9", promptTokens = 100, outputTokens = 75)
            waiting.isQueued.shouldBeTrue()
            val effects = host.advance(2.seconds)
            effects.only<RoutingEffect.Refuse>().id shouldBe waiting.id
            host.endAttempt(running.first(), AttemptResult.Complete).none<RoutingEffect.Forward>().shouldBeTrue()
        }

        test("a host that is stopped during its start exits as soon as no request is in flight") {
            val host = RoutingFixture()
            host.send(RoutingEvent.DrainRequested(announced = false))
            host.advance(25.milliseconds).only<RoutingEffect.CloseConnections>().accepting shouldBe false
            host.send(RoutingEvent.ConnectionsCounted(open = 0, accepting = false)).only<RoutingEffect.Exit>()
        }

        class Case(val name: String, val open: Int, val accepting: Boolean, val running: Boolean)

        listOf(
            Case("a connection is open", open = 1, accepting = false, running = false),
            Case("connections were still accepted when they were counted", open = 0, accepting = true, running = false),
            Case("a request is in flight", open = 0, accepting = false, running = true),
        ).forEach { case ->
            test("the process does not exit while ${case.name}") {
                val host = RoutingFixture(backends = listOf(engine("e1", Stage.DECODE)))
                val running = host.arrive("/sheets/1", promptTokens = 100, outputTokens = 100).forward
                host.send(RoutingEvent.DrainRequested())
                if (!case.running) host.endAttempt(running, AttemptResult.Complete)
                host.advance(3.seconds)
                val counted = RoutingEvent.ConnectionsCounted(case.open, case.accepting)
                host.send(counted).none<RoutingEffect.Exit>().shouldBeTrue()
            }
        }

        test("connections are accepted while a request is in flight") {
            val host = RoutingFixture(backends = listOf(engine("e1", Stage.DECODE)))
            val running = host.arrive("/sheets/1", promptTokens = 100, outputTokens = 100).forward
            host.send(RoutingEvent.DrainRequested())
            host.advance(4.seconds).filterIsInstance<RoutingEffect.CloseConnections>().all {
                it.accepting
            }.shouldBeTrue()
            host.endAttempt(running, AttemptResult.Complete)
            host.advance(25.milliseconds).only<RoutingEffect.CloseConnections>().accepting shouldBe false
        }

        test("requests still running at the limit are ended before the platform kills the process") {
            val host = RoutingFixture(backends = listOf(engine("e1", Stage.DECODE)))
            host.arrive("/sheets/1", promptTokens = 100, outputTokens = 100)
            host.send(RoutingEvent.DrainRequested())
            host.advance(7.seconds).none<RoutingEffect.Fail>().shouldBeTrue()
            val effects = host.advance(400.milliseconds)
            effects.only<RoutingEffect.Fail>().code shouldBe ResultCode.STREAM_BROKEN
            effects.none<RoutingEffect.Exit>().shouldBeTrue()
            host.advance(200.milliseconds).only<RoutingEffect.Exit>()
        }
    })
