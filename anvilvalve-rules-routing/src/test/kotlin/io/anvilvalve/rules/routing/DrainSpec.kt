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
            effects.only<RoutingEffect.Draining>().closeIdle shouldBe false
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
            host.advance(100.milliseconds).only<RoutingEffect.Exit>()
        }

        test("requests still running at the limit are ended before the platform kills the process") {
            val host = RoutingFixture(backends = listOf(engine("e1", Stage.DECODE)))
            host.arrive("/sheets/1", promptTokens = 100, outputTokens = 100)
            host.send(RoutingEvent.DrainRequested)
            host.advance(7.seconds).none<RoutingEffect.Fail>().shouldBeTrue()
            val effects = host.advance(1.seconds)
            effects.only<RoutingEffect.Fail>().code shouldBe ResultCode.STREAM_BROKEN
            effects.only<RoutingEffect.Exit>()
        }
    })
