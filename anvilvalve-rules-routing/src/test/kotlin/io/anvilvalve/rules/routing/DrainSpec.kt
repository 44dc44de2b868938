package io.anvilvalve.rules.routing

import io.anvilvalve.api.result.ResultCode
import io.anvilvalve.api.routing.Stage
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.booleans.shouldBeTrue
import io.kotest.matchers.shouldBe
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Guards against graceful shutdowns that cut off requests or that the balancer does not detect. */
class DrainSpec :
    FunSpec({
        test("a host that drains is not ready at once and serves requests until the balancer has detected it") {
            val host = RoutingFixture()
            val effects = host.send(RoutingEvent.DrainRequested)
            effects.only<RoutingEffect.ReadyChanged>().ready shouldBe false
            effects.only<RoutingEffect.Draining>()
            host.advance(2.seconds)
            host.arrive("/drawers/1").forward.server.service shouldBe plainService
        }

        test("later requests are refused as not executed, and the process exits when the running ones have ended") {
            val host = RoutingFixture(backends = listOf(engine("e1", Stage.DECODE)))
            val running = host.arrive("/sheets/1", promptTokens = 100, outputTokens = 100).forward
            host.send(RoutingEvent.DrainRequested)
            host.advance(3.seconds).none<RoutingEffect.Exit>().shouldBeTrue()
            host.arrive("/sheets/2").refusal.code shouldBe ResultCode.DRAINING
            host.endAttempt(running, AttemptResult.Complete)
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
                host.send(RoutingEvent.DrainRequested)
                if (!case.running) host.endAttempt(running, AttemptResult.Complete)
                host.advance(3.seconds)
                val counted = RoutingEvent.ConnectionsCounted(case.open, case.accepting)
                host.send(counted).none<RoutingEffect.Exit>().shouldBeTrue()
            }
        }

        test("connections are accepted while a request is in flight") {
            val host = RoutingFixture(backends = listOf(engine("e1", Stage.DECODE)))
            val running = host.arrive("/sheets/1", promptTokens = 100, outputTokens = 100).forward
            host.send(RoutingEvent.DrainRequested)
            host.advance(4.seconds).filterIsInstance<RoutingEffect.CloseConnections>().all {
                it.accepting
            }.shouldBeTrue()
            host.endAttempt(running, AttemptResult.Complete)
            host.advance(25.milliseconds).only<RoutingEffect.CloseConnections>().accepting shouldBe false
        }

        test("requests still running at the limit are ended before the platform kills the process") {
            val host = RoutingFixture(backends = listOf(engine("e1", Stage.DECODE)))
            host.arrive("/sheets/1", promptTokens = 100, outputTokens = 100)
            host.send(RoutingEvent.DrainRequested)
            host.advance(7.seconds).none<RoutingEffect.Fail>().shouldBeTrue()
            val effects = host.advance(400.milliseconds)
            effects.only<RoutingEffect.Fail>().code shouldBe ResultCode.STREAM_BROKEN
            effects.none<RoutingEffect.Exit>().shouldBeTrue()
            host.advance(200.milliseconds).only<RoutingEffect.Exit>()
        }
    })
