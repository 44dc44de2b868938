package io.anvilvalve.rules.routing

import io.anvilvalve.api.BinaryCodec
import io.anvilvalve.api.log.Member
import io.anvilvalve.api.peer.FleetSummary
import io.anvilvalve.api.peer.PeerMessage
import io.anvilvalve.api.result.Executed
import io.anvilvalve.api.result.ResultCode
import io.anvilvalve.api.routing.Stage
import io.anvilvalve.api.routing.StateTopic
import io.anvilvalve.api.routing.StoredEntry
import io.kotest.assertions.withClue
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Duration.Companion.seconds

private val broken = AttemptResult.Failed("reset", Executed.UNKNOWN)

/**
 * Guards against requests with one prompt part that crash engine after engine, and against sound requests that are
 * refused with them.
 */
class CrashingPartsSpec :
    FunSpec({
        fun hostEntry(member: Member) =
            StoredEntry(member.host.value, 0, BinaryCodec.encode(Member.serializer(), member))

        fun fixture(name: String, others: List<String> = emptyList()) =
            RoutingFixture(self = member(name), backends = (1..8).map { engine("e$it", Stage.DECODE) }).also { host ->
                host.read(StateTopic.HOSTS, others.map { hostEntry(member(it)) })
            }

        fun RoutingFixture.ask(path: String, vararg parts: String) =
            arrive(path, promptTokens = 100, outputTokens = 10, parts = parts.toList())

        /** Sends a request that its engine breaks before its answer starts. */
        fun RoutingFixture.crash(vararg parts: String, path: String = "/sheets/1") {
            val forward = ask(path, *parts).forward
            endAttempt(forward, broken)
            updateBackend(forward.server.copy(startedAtMillis = forward.server.startedAtMillis + 1))
        }

        fun RoutingFixture.answer(vararg parts: String) {
            val forward = ask("/sheets/1", *parts).forward
            send(RoutingEvent.AnswerStarted(forward.id, forward.attempt))
            endAttempt(forward, AttemptResult.Complete)
        }

        fun RoutingFixture.isWithheld(vararg parts: String) = ask("/sheets/1", *parts).effects.any {
            it is RoutingEffect.Refuse && it.code == ResultCode.PROMPT_WITHHELD
        }

        test("a part that crashed three engines reaches no further one, and sound requests do") {
            val host = fixture("h1")
            host.answer("shared")
            repeat(3) {
                host.isWithheld("shared", "bad") shouldBe false
                host.crash("shared", "bad")
            }
            host.isWithheld("shared", "bad") shouldBe true
            host.isWithheld("other", "bad") shouldBe true
            host.isWithheld("shared", "fine") shouldBe false
            host.isWithheld("shared") shouldBe false
        }

        class Case(
            val name: String,
            val crashes: List<List<String>>,
            val withheld: List<String>,
            val sound: List<String>,
        )

        listOf(
            Case(
                "the last of parts that always came together",
                List(3) { listOf("first", "bad") },
                withheld = listOf("bad"),
                sound = listOf("first"),
            ),
            Case(
                "the first of parts whose followers differ",
                (1..3).map { listOf("bad", "follower-$it") },
                withheld = listOf("bad"),
                sound = listOf("follower-1"),
            ),
            Case(
                "no part that only two engines crashed on",
                List(2) { listOf("rare") },
                withheld = emptyList(),
                sound = listOf("rare"),
            ),
        ).forEach { case ->
            test("${case.name} is to blame") {
                val host = fixture("h1")
                case.crashes.forEach { host.crash(*it.toTypedArray()) }
                case.withheld.forEach { host.isWithheld(it) shouldBe true }
                case.sound.forEach { host.isWithheld(it) shouldBe false }
            }
        }

        test("a part that was answered is not withheld, however many engines crashed on requests with it") {
            val host = fixture("h1")
            host.answer("shared")
            repeat(6) {
                host.crash("shared")
                host.advance(2.seconds)
            }
            host.isWithheld("shared") shouldBe false
        }

        test("an engine that breaks many requests without a crash counts once") {
            val host = RoutingFixture(backends = listOf(engine("e1", Stage.DECODE)))
            repeat(6) {
                host.endAttempt(host.ask("/sheets/1", "rare").forward, broken)
                host.advance(3.seconds)
            }
            host.isWithheld("rare") shouldBe false
        }

        test("a request that may be repeated is not, once its part was at two crashes") {
            val host = fixture("h1")
            host.crash("bad")
            val forward = host.ask("/deeds/1", "bad").forward
            host.endAttempt(forward, broken).none<RoutingEffect.Forward>() shouldBe true
        }

        test("a request that was sent for its prefill gets no engine once its part is withheld") {
            val engines = (1..4).map { engine("f$it", Stage.PREFILL) } + (1..8).map { engine("e$it", Stage.DECODE) }
            val host = RoutingFixture(backends = engines)
            val waiting = host.ask("/sheets/1", "bad").prefill
            repeat(3) {
                val prefill = host.ask("/sheets/2", "bad").prefill
                val done = RoutingEvent.PrefillEnded(prefill.id, prefill.attempt, PrefillResult.Done("k$it"))
                host.endAttempt(host.send(done).only<RoutingEffect.Forward>(), broken)
            }
            val done = RoutingEvent.PrefillEnded(waiting.id, waiting.attempt, PrefillResult.Done("k"))
            host.send(done).only<RoutingEffect.Refuse>().code shouldBe ResultCode.PROMPT_WITHHELD
        }

        test("a part is served again after the time for which it is withheld") {
            val host = fixture("h1")
            repeat(3) { host.crash("bad") }
            host.advance(9.minutes)
            host.isWithheld("bad") shouldBe true
            host.advance(70.seconds)
            host.isWithheld("bad") shouldBe false
        }

        /** Lets [hosts] send each other their messages for [time]. */
        fun exchange(hosts: List<RoutingFixture>, time: Duration) {
            val end = hosts.first().now + time
            while (hosts.first().now < end) {
                hosts.forEach { from ->
                    from.advance(300.milliseconds)
                        .filterIsInstance<RoutingEffect.SendFrame>()
                        .filter { it.frame.message is PeerMessage.Gossip }
                        .forEach { sent ->
                            hosts.first { it.self.host == sent.to.host }.receive(from.self, sent.frame.message)
                        }
                    from.effects.clear()
                }
            }
        }

        test("hosts that saw one crash each withhold the part together, and hear that another part is answered") {
            val names = (1..4).map { "h$it" }
            val hosts = names.map { fixture(it, names - it) }
            hosts.last().answer("shared")
            hosts.take(3).forEachIndexed { index, host ->
                repeat(index) { host.ask("/sheets/1", "other-$it") }
                host.crash("shared", "bad")
                exchange(hosts, 900.milliseconds)
            }
            hosts.forEach {
                withClue(it.self.host) {
                    it.isWithheld("shared", "bad") shouldBe true
                    it.isWithheld("shared") shouldBe false
                }
            }
        }

        test("hosts that tell each other of a withheld part do not withhold it for ever") {
            val hosts = listOf(fixture("h1", listOf("h2")), fixture("h2", listOf("h1")))
            repeat(3) { hosts.first().crash("bad") }
            exchange(hosts, 1.seconds)
            hosts.map { it.isWithheld("bad") } shouldBe listOf(true, true)
            exchange(hosts, 10.minutes + 10.seconds)
            hosts.map { it.isWithheld("bad") } shouldBe listOf(false, false)
        }

        test("an answer of long ago does not protect a part") {
            val hosts = listOf(fixture("h1", listOf("h2")), fixture("h2", listOf("h1")))
            hosts.last().answer("bad")
            exchange(hosts, 2.minutes)
            repeat(3) {
                hosts.first().crash("bad")
                exchange(hosts, 1.seconds)
            }
            hosts.map { it.isWithheld("bad") } shouldBe listOf(true, true)
        }

        test("a host of a large fleet withholds what its coordinator tells") {
            val coordinator = fixture("h1", listOf("h2"))
            repeat(3) { coordinator.crash("bad") }
            val summary = FleetSummary(
                member("h1"),
                number = 1,
                alive = emptyList(),
                configuration = 1,
                directory = 0,
                storeAgeMillis = 0,
                available = true,
                totals = FleetSummary.Totals(
                    settled = true,
                    usage = emptyList(),
                    loads = emptyList(),
                    attempts = emptyList(),
                    parts = coordinator.advance(400.milliseconds).filterIsInstance<RoutingEffect.SendFrame>()
                        .firstNotNullOf { (it.frame.message as? PeerMessage.Gossip)?.parts },
                ),
            )
            val host = fixture("h99", (1..20).map { "h$it" })
            host.receive(member("h1"), summary)
            host.advance(200.milliseconds)
            host.isWithheld("bad") shouldBe true
        }
    })
