package io.anvilvalve.rules.routing

import io.anvilvalve.api.result.ResultCode
import io.anvilvalve.api.routing.Stage
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.booleans.shouldBeTrue
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

        class Late(val name: String, val path: String, val outputTokens: Int, val after: Duration, val served: Boolean)

        listOf(
            Late("a call is served until shortly before the limit", "/drawers/1", 0, 6.seconds, served = true),
            Late("a call that would be cut off is refused", "/drawers/1", 0, 7_200.milliseconds, served = false),
            Late("a short stream is served before the balancer reacts", "/sheets/1", 40, 1.seconds, served = true),
            Late("a stream that would be cut off is refused", "/sheets/1", 400, 1.seconds, served = false),
            Late("a stream is refused after the balancer has reacted", "/sheets/1", 4, 3.seconds, served = false),
        ).forEach { case ->
            test("in a planned stop ${case.name}") {
                val host = RoutingFixture(backends = listOf(plain("p1"), engine("e1", Stage.DECODE)))
                host.send(RoutingEvent.DrainRequested())
                host.advance(case.after)
                val arrival = host.arrive(case.path, promptTokens = 100, outputTokens = case.outputTokens)
                if (case.served) arrival.forward else arrival.refusal.code shouldBe ResultCode.DRAINING
            }
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
