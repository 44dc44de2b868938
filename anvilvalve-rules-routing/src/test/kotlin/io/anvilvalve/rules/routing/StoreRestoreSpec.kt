package io.anvilvalve.rules.routing

import io.anvilvalve.api.BinaryCodec
import io.anvilvalve.api.log.Member
import io.anvilvalve.api.peer.FleetSummary
import io.anvilvalve.api.peer.PeerMessage
import io.anvilvalve.api.result.ResultCode
import io.anvilvalve.api.routing.RoutingConfiguration
import io.anvilvalve.api.routing.StateTopic
import io.anvilvalve.api.routing.StorePosition
import io.anvilvalve.api.routing.StoredEntry
import io.kotest.assertions.withClue
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Guards against state that is ignored, lost or older than before after the store came back from an older copy. */
class StoreRestoreSpec :
    FunSpec({
        /** Version with an organisation that has a key, or without a key. */
        fun version(number: Long, hasKey: Boolean = true) =
            if (hasKey) configuration(number) else configuration(number, keys = emptySet())

        fun RoutingFixture.publish(next: RoutingConfiguration, complete: Boolean = false) =
            read(StateTopic.CONFIGURATION, listOf(entry("config", next)), complete)

        /** Whether the key of the organisation is valid at this host. */
        fun RoutingFixture.acceptsKey(path: String) =
            arrive(path).effects.none { it is RoutingEffect.Refuse && it.code == ResultCode.KEY_INVALID }

        listOf(true, false).forEach { complete ->
            test("a version published after a restore is in force, read ${if (complete) "as newest" else "as next"}") {
                val host = RoutingFixture()
                (2L..6L).forEach { host.publish(version(it)) }
                host.restoreStore(lost = 3)
                host.publish(version(4), complete = true)
                host.publish(version(7, hasKey = false), complete)
                host.acceptsKey("/drawers/1") shouldBe false
            }
        }

        test("the versions in the copy and those written again never replace a newer one") {
            val host = RoutingFixture()
            host.publish(version(2))
            host.publish(version(3, hasKey = false))
            host.restoreStore(lost = 3)
            (1L..2L).forEach {
                host.publish(version(it), complete = true)
                withClue("version $it") { host.acceptsKey("/drawers/$it") shouldBe false }
            }
            host.publish(version(3, hasKey = false))
            host.acceptsKey("/drawers/3") shouldBe false
            host.publish(version(4))
            host.acceptsKey("/drawers/4") shouldBe true
        }

        test("a server that registers after a restore is used") {
            val host = RoutingFixture(backends = listOf(plain("p1")))
            repeat(9) { host.updateBackend(plain("p1", slots = it + 3)) }
            host.restoreStore(lost = 9)
            val entries = listOf(host.entry("p1", plain("p1", leaving = true)), host.entry("p2", plain("p2")))
            host.read(StateTopic.DIRECTORY, entries)
            host.arrive("/drawers/1").forward.server.id.value shouldBe "p2"
        }

        test("a server that is missing in the copy is kept until it has had time to register again") {
            val host = RoutingFixture(backends = listOf(plain("p1")))
            host.updateBackend(plain("p2"))
            host.restoreStore(lost = 1)
            host.read(StateTopic.DIRECTORY, listOf(host.entry("p1", plain("p1", leaving = true))))
            host.arrive("/drawers/1").forward.server.id.value shouldBe "p2"
            host.advance(2_300.milliseconds)
            host.arrive("/drawers/2").effects.none<RoutingEffect.Forward>() shouldBe true
        }

        val peer = member("h2")

        fun gossip(sequence: Long, configuration: Long, directory: Long, era: Long) = PeerMessage.Gossip(
            peer,
            sequence,
            heard = emptyList(),
            configuration,
            directory,
            usage = emptyList(),
            loads = emptyList(),
            attempts = emptyList(),
            era = era,
        )

        fun List<RoutingEffect>.sent() = filterIsInstance<RoutingEffect.SendFrame>().map { it.frame.message }

        class Told(
            val name: String,
            val configuration: Long,
            val directory: Long,
            val era: Long,
            val readsStore: Boolean,
            val isAsked: Boolean,
        )

        listOf(
            Told("of after a restore", 1, 2, era = 1, readsStore = false, isAsked = true),
            Told("of before a restore that the store knows", 1, 900, era = 0, readsStore = false, isAsked = false),
            Told("with a version that the copy lacks", 9, 900, era = 0, readsStore = true, isAsked = true),
            Told("that the store also has", 1, 900, era = 0, readsStore = true, isAsked = false),
        ).forEach { case ->
            val source = if (case.readsStore) "reads the store" else "cannot read the store"
            test("a host that $source ${if (case.isAsked) "asks" else "does not ask"} for state ${case.name}") {
                val host = RoutingFixture()
                if (case.era == 0L) {
                    host.restoreStore(lost = 1)
                    host.publish(version(1), complete = true)
                    host.read(StateTopic.DIRECTORY, emptyList())
                }
                val requests = (1L..10L).flatMap { sequence ->
                    host.receive(peer, gossip(sequence, case.configuration, case.directory, case.era))
                    if (case.readsStore) {
                        listOf(StateTopic.CONFIGURATION, StateTopic.DIRECTORY).forEach {
                            host.read(it, emptyList(), complete = false)
                        }
                    }
                    host.advance(300.milliseconds)
                }.sent().filterIsInstance<PeerMessage.StateRequest>()
                requests.isNotEmpty() shouldBe case.isAsked
            }
        }

        test("a coordinator's summary of after a restore is newer than all state of before") {
            val host = RoutingFixture()
            fun summary(number: Long, directory: Long, era: Long) = FleetSummary(
                peer,
                number,
                alive = emptyList(),
                configuration = 1,
                directory = directory,
                storeAgeMillis = 0,
                available = false,
                era = era,
            )
            host.receive(peer, summary(1, directory = 0, era = 0)).sent().any {
                it is PeerMessage.StateRequest
            } shouldBe
                false
            host.receive(peer, summary(2, directory = 1, era = 1)).sent().any {
                it is PeerMessage.StateRequest
            } shouldBe
                true
        }

        test("a host takes a directory of after a restore from a peer and refuses one of before") {
            val host = RoutingFixture(backends = listOf(plain("p1")))
            host.restoreStore(lost = 2)
            val p2 = host.entry("p2", plain("p2"))
            val after = PeerMessage.SharedState(null, listOf(p2), directory = 2, era = 1)
            host.receive(peer, after)
            host.receive(peer, PeerMessage.SharedState(null, emptyList(), directory = 900, era = 0))
            host.advance(2_300.milliseconds)
            host.arrive("/drawers/1").forward.server.id.value shouldBe "p2"
        }

        test("a host sends the state of after a restore to a peer that knows higher offsets of before") {
            val host = RoutingFixture()
            host.restoreStore(lost = 3)
            host.read(StateTopic.DIRECTORY, listOf(host.entry("p1", plain("p1"))))
            host.receive(peer, gossip(1, configuration = 1, directory = 900, era = 0))
            val state = host.receive(peer, PeerMessage.StateRequest(configuration = 1, directory = 900, era = 0)).sent()
            state.filterIsInstance<PeerMessage.SharedState>().single().directoryPosition shouldBe StorePosition(1, 1)
        }

        test("a host writes its entry again if the copy lacks it or has one of an earlier start") {
            fun hosts(vararg members: Member) =
                members.map { StoredEntry(it.host.value, 0, BinaryCodec.encode(Member.serializer(), it)) }

            class Entries(val name: String, val entries: List<StoredEntry>, val isWritten: Boolean)

            listOf(
                Entries("its entry", hosts(member("h1"), peer), isWritten = false),
                Entries("no entry of it", hosts(peer), isWritten = true),
                Entries("an entry of an earlier start", hosts(member("h1", start = 0), peer), isWritten = true),
            ).forEach { case ->
                withClue("the copy has ${case.name}") {
                    val host = RoutingFixture()
                    host.restoreStore(lost = 1)
                    host.publish(version(1), complete = true)
                    host.advance(100.milliseconds).none<RoutingEffect.ReadHosts>() shouldBe false
                    host.read(StateTopic.HOSTS, case.entries).none<RoutingEffect.AnnounceHost>() shouldBe
                        !case.isWritten
                }
            }
        }

        class Returned(
            val name: String,
            val last: Registration?,
            val inCopy: Registration,
            val isUsedAtOnce: Boolean,
            val isUsedLater: Boolean,
            val writtenAgain: Registration? = null,
        )

        val ready = plain("p2")
        val leaving = plain("p2", leaving = true)
        val isLeaving = Registration(leaving, 9)
        listOf(
            Returned("that was leaving", isLeaving, Registration(ready, 1), isUsedAtOnce = false, isUsedLater = true),
            Returned("whose entry was removed", null, Registration(ready, 1), isUsedAtOnce = false, isUsedLater = true),
            Returned(
                "that was leaving and says so again",
                isLeaving,
                Registration(ready, 1),
                isUsedAtOnce = false,
                isUsedLater = false,
                writtenAgain = Registration(leaving, 10),
            ),
            Returned(
                "that was leaving and has started again",
                isLeaving,
                Registration(ready.copy(startedAtMillis = 5), 1),
                isUsedAtOnce = true,
                isUsedLater = true,
            ),
            Returned(
                "whose entry was removed and that registers again",
                null,
                Registration(ready, 20),
                isUsedAtOnce = true,
                isUsedLater = true,
            ),
        ).forEach { case ->
            test("a server ${case.name} is used after a restore only if it is ready by its own latest word") {
                val host = RoutingFixture(backends = emptyList())
                host.read(StateTopic.DIRECTORY, listOf(host.entry("p2", Registration(ready, 1))))
                host.read(StateTopic.DIRECTORY, listOf(host.entry("p2", case.last)), complete = false)
                host.restoreStore(lost = 1)
                host.read(StateTopic.DIRECTORY, listOf(host.entry("p2", case.inCopy)))
                fun isUsed(path: String) = !host.arrive(path).effects.none<RoutingEffect.Forward>()
                isUsed("/drawers/1") shouldBe case.isUsedAtOnce
                case.writtenAgain?.let {
                    host.read(StateTopic.DIRECTORY, listOf(host.entry("p2", it)), complete = false)
                }
                host.advance(4.seconds)
                isUsed("/drawers/2") shouldBe case.isUsedAtOnce
                host.advance(2.seconds)
                isUsed("/drawers/3") shouldBe case.isUsedLater
            }
        }

        test("a host whose entry is missing in reads that lag behind its writes does not write in a loop") {
            val host = RoutingFixture()
            val written = (1..50).sumOf { _ ->
                host.advance(100.milliseconds)
                host.read(StateTopic.HOSTS, emptyList()).filterIsInstance<RoutingEffect.AnnounceHost>().size
            }
            written shouldBe 3
        }

        test("the usage in the copy is replaced, although no organisation is near its quota any more") {
            val quota = configuration(1, ratePerSecond = 10_000.0, burst = 20_000.0)
            val host = RoutingFixture(configuration = quota)
            host.advance(10.seconds)
            repeat(4) { host.arrive("/drawers/$it", promptTokens = 15_000) }
            fun List<RoutingEffect>.usageWrites() = filterIsInstance<RoutingEffect.PutState>()
                .filter { it.key != ServiceVersions.KEY }
            host.advance(20.seconds).usageWrites().isEmpty() shouldBe false
            host.advance(2.seconds).usageWrites().isEmpty() shouldBe true
            host.restoreStore(lost = 0)
            host.publish(quota, complete = true)
            host.advance(1.seconds).usageWrites().single().topic shouldBe StateTopic.USAGE
        }
    })
