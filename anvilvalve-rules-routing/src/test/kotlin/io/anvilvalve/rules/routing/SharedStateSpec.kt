package io.anvilvalve.rules.routing

import io.anvilvalve.api.BinaryCodec
import io.anvilvalve.api.id.BackendServerId
import io.anvilvalve.api.log.Member
import io.anvilvalve.api.peer.PeerMessage
import io.anvilvalve.api.peer.SharedLoad
import io.anvilvalve.api.peer.SharedUsage
import io.anvilvalve.api.result.ResultCode
import io.anvilvalve.api.routing.RecordedUsage
import io.anvilvalve.api.routing.StateTopic
import io.anvilvalve.api.routing.StoredEntry
import io.kotest.assertions.withClue
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.booleans.shouldBeTrue
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.comparables.shouldBeLessThanOrEqualTo
import io.kotest.matchers.shouldBe
import kotlinx.serialization.builtins.ListSerializer
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

private fun gossip(
    from: Member,
    sequence: Long,
    heard: List<Member> = emptyList(),
    usage: List<SharedUsage> = emptyList(),
    loads: List<SharedLoad> = emptyList(),
    configuration: Long = -1,
    directory: Long = -1,
) = PeerMessage.Gossip(
    from,
    sequence,
    heard.map { it.incarnation },
    configuration,
    directory,
    usage,
    loads,
    attempts = emptyList(),
)

/**
 * Guards against hosts that together exceed a quota or a retry budget, and against placements by outdated loads or
 * store state, because messages between hosts are lost, late or missing.
 */
class SharedStateSpec :
    FunSpec({
        val peer = member("h2")

        for (size in QuotaSimulation.Size.entries) {
            for (demand in QuotaSimulation.Demand.entries) {
                test(
                    "no window exceeds a $size quota with $demand demand despite message loss and restarts",
                ) {
                    for (seed in 1L..200L) {
                        val most = QuotaSimulation(seed, size, demand).maxAdmittedInWindow()
                        withClue("seed $seed") { most shouldBeLessThanOrEqualTo size.ceiling }
                    }
                }
            }
        }

        test("only the leader writes usage, and only usage near a quota") {
            data class Case(val name: String, val peer: String, val requests: Int, val written: Boolean)
            listOf(
                Case("over half of the quota", peer = "h2", requests = 4, written = true),
                Case("below half of the quota", peer = "h2", requests = 2, written = false),
                Case("another host is the leader", peer = "h0", requests = 4, written = false),
            ).forEach { case ->
                withClue(case.name) {
                    val host = RoutingFixture(configuration = configuration(1, 10_000.0, 20_000.0))
                    host.advance(10.seconds)
                    host.receive(member(case.peer), gossip(member(case.peer), 1))
                    host.advance(600.milliseconds)
                    host.effects.clear()
                    repeat(case.requests) { host.arrive("/drawers/$it", 15_000, 0) }
                    host.advance(150.milliseconds)
                    val written = host.effects.filterIsInstance<RoutingEffect.PutState>()
                        .lastOrNull { it.key != ServiceVersions.KEY }
                    val records = written?.let {
                        BinaryCodec.decode(ListSerializer(RecordedUsage.serializer()), it.value).getOrNull()
                    }
                    records.orEmpty().sumOf { it.slices.sum() } shouldBe if (case.written) 60_000 else 0
                }
            }
        }

        test("a started host counts the recorded usage and assumes usage without a record") {
            fun admittedAtStart(usage: ByteArray?): Int {
                val host = RoutingFixture(
                    configuration = configuration(1, 100_000.0, 200_000.0),
                    backends = listOf(plain("p", slots = 100_000)),
                    usage = usage,
                )
                return (1..2_000).count {
                    host.arrive("/drawers/$it", 1_000, 0).effects.any { e -> e is RoutingEffect.Forward }
                }
            }
            val full = listOf(RecordedUsage(organisation, slices = listOf(0, 0, 0, 0, 1_000_000)))
            val assumed = admittedAtStart(usage = null)
            admittedAtStart(BinaryCodec.encode(ListSerializer(RecordedUsage.serializer()), full)) shouldBe assumed - 200
            withClue("a record that does not decode") { admittedAtStart(byteArrayOf(1, 2)) shouldBe assumed }
        }

        test("a host whose peers are silent admits only its share of the quota") {
            fun admittedBy(peers: Int): Int {
                val host =
                    RoutingFixture(
                        configuration = configuration(1, 10_000.0, 40_000.0),
                        backends = listOf(plain("p", slots = 100_000)),
                    )
                repeat(peers) { host.receive(member("x$it"), gossip(member("x$it"), 1)) }
                host.advance(10.seconds)
                return (1..500).count {
                    host.arrive("/drawers/$it", 1_000, 0).effects.any { e -> e is RoutingEffect.Forward }
                }
            }
            val alone = admittedBy(peers = 0)
            val cutOff = admittedBy(peers = 3)
            cutOff shouldBeLessThanOrEqualTo alone / 4
        }

        /** Tokens that a host admits in a quota window after [prepare]. */
        fun admittedAfter(prepare: RoutingFixture.() -> Unit): Int {
            val host = RoutingFixture(
                configuration = configuration(1, 10_000.0, 40_000.0),
                backends = listOf(plain("p", slots = 100_000)),
            )
            host.advance(10.seconds)
            host.prepare()
            return (1..500).count { host.arrive("/drawers/$it", 1_000).effects.any { e -> e is RoutingEffect.Forward } }
        }

        fun RoutingFixture.readHosts() =
            read(StateTopic.HOSTS, listOf(StoredEntry("h2", 0, BinaryCodec.encode(Member.serializer(), peer))))

        test("the quota of a host that has stopped is not kept for it, although its entry is still in the store") {
            class Departure(
                val name: String,
                val drainMillis: Int?,
                val isGone: Boolean,
                val wasHeardAgain: Boolean = false,
            )
            val alone = admittedAfter { }
            listOf(
                Departure("it has announced its stop", drainMillis = 0, isGone = true),
                Departure("it has time left", drainMillis = 6_000, isGone = false),
                Departure("it is silent for an unknown reason", drainMillis = null, isGone = false),
                Departure("it was heard again", drainMillis = 0, isGone = false, wasHeardAgain = true),
            ).forEach { case ->
                withClue(case.name) {
                    val admitted = admittedAfter {
                        val message = gossip(peer, 1).copy(ready = false, drainMillis = case.drainMillis)
                        receive(peer, message)
                        advance(3.seconds)
                        if (case.wasHeardAgain) receive(peer, message.copy(sequence = 2, drainMillis = null))
                        readHosts()
                        advance(3.seconds)
                    }
                    if (case.isGone) admitted shouldBe alone else admitted shouldBeLessThanOrEqualTo alone / 2
                }
            }
        }

        test("retries stay within the budget") {
            val host = RoutingFixture(backends = (1..50).map { plain("p$it", slots = 1_000) })
            var retries = 0
            repeat(400) {
                val forward = host.arrive("/shelves/$it").forward
                val failed = AttemptResult.ErrorAnswer(500)
                val again = host.endAttempt(forward, failed).filterIsInstance<RoutingEffect.Forward>().singleOrNull()
                if (again != null) {
                    retries++
                    host.endAttempt(again, AttemptResult.Complete)
                }
                host.now += 10.milliseconds
            }
            retries.toDouble() shouldBeLessThanOrEqualTo 400 * 0.2 + 50
        }

        test("a server that is full by the load that a peer reports gets no calls") {
            val host = RoutingFixture(backends = listOf(plain("p1"), plain("p2")))
            val loads = listOf(SharedLoad(BackendServerId("p1"), requests = 3, tokens = 0))
            host.receive(peer, gossip(peer, 1, loads = loads))
            repeat(3) { host.arrive("/drawers/$it").forward.server.id.value shouldBe "p2" }
            host.arrive("/drawers/4").isQueued.shouldBeTrue()
            host.advance(2_100.milliseconds).filterIsInstance<RoutingEffect.Forward>()
                .map { it.server.id.value } shouldBe emptyList()
        }

        test("a message that arrives after a newer one is ignored") {
            val host = RoutingFixture(backends = listOf(plain("p1")))
            host.receive(peer, gossip(peer, 2))
            host.receive(peer, gossip(peer, 1, loads = listOf(SharedLoad(BackendServerId("p1"), 9, 0))))
            host.arrive("/drawers/1").forward.server.id.value shouldBe "p1"
        }

        test("a host that cannot read the store gets the configuration from a peer with a newer one") {
            val host = RoutingFixture()
            host.advance(1.seconds)
            host.failStoreReads()
            host.receive(peer, gossip(peer, 1, configuration = 1_000))
            val asked = host.advance(3.seconds).filterIsInstance<RoutingEffect.SendFrame>()
            withClue("the peer is silent for two seconds, so no further state is requested") {
                asked.count { it.frame.message is PeerMessage.StateRequest } shouldBeLessThanOrEqualTo 3
            }
            host.receive(peer, gossip(peer, 2, configuration = 1_000))
            host.advance(600.milliseconds).filterIsInstance<RoutingEffect.SendFrame>()
                .any { it.frame.message is PeerMessage.StateRequest }.shouldBeTrue()
            val newer = host.entry("config", configuration(version = 9, keys = emptySet()))
            host.receive(peer, PeerMessage.SharedState(newer, emptyList(), -1))
            host.arrive("/drawers/1").refusal.code shouldBe ResultCode.KEY_INVALID
        }

        test("the connection to a peer that receives nothing from this host is reset") {
            val host = RoutingFixture()
            host.receive(peer, gossip(peer, 1, heard = listOf(host.self)))
            val resets = (2L..8L).flatMap { sequence ->
                host.receive(peer, gossip(peer, sequence))
                host.advance(200.milliseconds)
            }
            resets.only<RoutingEffect.ResetPeer>().to.host shouldBe peer.host
        }

        test("entries removed in an outage of the store are kept until their servers have had time to register again") {
            val host = RoutingFixture(backends = listOf(plain("p1")))
            host.failStoreReads()
            host.advance(4.seconds)
            host.read(StateTopic.DIRECTORY, listOf(host.entry("p1", null)), complete = false)
            host.arrive("/drawers/1").forward.server.id.value shouldBe "p1"
            host.advance(2_300.milliseconds)
            host.arrive("/drawers/2").effects.filterIsInstance<RoutingEffect.Forward>().shouldBeEmpty()
        }

        test("an entry removed while the store is available takes effect at once") {
            val host = RoutingFixture(backends = listOf(plain("p1")))
            host.read(StateTopic.DIRECTORY, listOf(host.entry("p1", null)), complete = false)
            host.arrive("/drawers/1").effects.filterIsInstance<RoutingEffect.Forward>().shouldBeEmpty()
        }

        test("an entry that does not decode removes its server and leaves the others") {
            val host = RoutingFixture(backends = listOf(plain("p1"), plain("p2")))
            host.read(StateTopic.DIRECTORY, listOf(host.entry("p1", "nonsense")), complete = false)
            repeat(2) { host.arrive("/drawers/$it").forward.server.id.value shouldBe "p2" }
        }
    })
