package io.anvilvalve.rules.routing

import io.anvilvalve.api.peer.PeerMessage
import io.anvilvalve.api.routing.FencingToken
import io.anvilvalve.api.routing.Stage
import io.anvilvalve.api.routing.StorePosition
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.booleans.shouldBeFalse
import io.kotest.matchers.booleans.shouldBeTrue
import io.kotest.matchers.comparables.shouldBeGreaterThanOrEqualTo
import io.kotest.matchers.shouldBe
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Guards against two hosts that send orders alternately, orders with an outdated fencing token, and stage changes after
 * a brief crash.
 */
class OrderDispatcherSpec :
    FunSpec({
        val unevenSplit = (1..4).map { engine("p$it", Stage.PREFILL) } + (1..2).map { engine("d$it", Stage.DECODE) }

        val token = FencingToken(StorePosition(era = 0, offset = 5))

        fun RoutingFixture.receiveGossip(host: String, sequence: Long) = receive(
            member(host),
            PeerMessage.Gossip(
                member(host),
                sequence,
                listOf(self.incarnation),
                -1,
                -1,
                emptyList(),
                emptyList(),
                emptyList(),
            ),
        )

        test(
            "an uneven split is corrected by one order at a time, after the previous leader's lease has expired",
        ) {
            val host = RoutingFixture(backends = unevenSplit)
            host.advance(3.seconds).only<RoutingEffect.AcquireFencingToken>()
            val acquiredAt = host.now
            host.send(RoutingEvent.FencingTokenAcquired(token))
            val order = generateSequence { host.advance(25.milliseconds).filterIsInstance<RoutingEffect.SendOrder>() }
                .first { it.isNotEmpty() }.single()
            host.now - acquiredAt shouldBeGreaterThanOrEqualTo 3_500.milliseconds
            order.fence shouldBe token
            order.stage shouldBe Stage.DECODE
            host.send(RoutingEvent.OrderEnded(OrderOutcome.ACCEPTED))
            val next = host.advance(1.seconds).filterIsInstance<RoutingEffect.SendOrder>()
            next.all { it.server.id != order.server.id }.shouldBeTrue()
        }

        test("an engine that is changing its stage gets no work") {
            val host = RoutingFixture(backends = unevenSplit)
            host.advance(3.seconds)
            host.send(RoutingEvent.FencingTokenAcquired(token))
            val order = host.advance(4.seconds).only<RoutingEffect.SendOrder>()
            host.send(RoutingEvent.OrderEnded(OrderOutcome.ACCEPTED))
            val used = (1..8).map {
                host.arrive("/sheets/$it", promptTokens = 100, outputTokens = 10).prefill.server.id
            }
            (order.server.id in used).shouldBeFalse()
        }

        test("only the host with the lowest id among the alive hosts sends orders") {
            val host = RoutingFixture(self = member("h2"), backends = unevenSplit)
            val effects = (1L..20L).flatMap { sequence ->
                host.receiveGossip("h1", sequence)
                host.advance(250.milliseconds)
            }
            effects.none<RoutingEffect.AcquireFencingToken>().shouldBeTrue()
        }

        test("a host for which most hosts are silent sends no orders") {
            val host = RoutingFixture(backends = unevenSplit)
            listOf("h2", "h3").forEach { host.receiveGossip(it, 1) }
            host.advance(5.seconds).none<RoutingEffect.AcquireFencingToken>().shouldBeTrue()
        }

        test("a short imbalance of the split causes no stage change") {
            val host = RoutingFixture(backends = unevenSplit)
            host.advance(2.seconds)
            (1..2).forEach { host.updateBackend(engine("p$it", Stage.DECODE)) }
            host.advance(5.seconds).none<RoutingEffect.AcquireFencingToken>().shouldBeTrue()
        }

        test("after another host acquires a newer fencing token, the old one is not used again") {
            val host = RoutingFixture(backends = unevenSplit)
            host.advance(3.seconds)
            host.send(RoutingEvent.FencingTokenAcquired(token))
            host.advance(4.seconds).only<RoutingEffect.SendOrder>()
            host.send(RoutingEvent.OrderEnded(OrderOutcome.FENCE_LOST))
            val later = host.advance(8.seconds)
            later.none<RoutingEffect.SendOrder>().shouldBeTrue()
            later.only<RoutingEffect.AcquireFencingToken>()
        }
    })
