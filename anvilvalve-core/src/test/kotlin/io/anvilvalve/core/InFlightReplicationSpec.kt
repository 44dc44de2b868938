package io.anvilvalve.core

import io.anvilvalve.api.id.BackendServerId
import io.anvilvalve.api.id.DataCentreId
import io.anvilvalve.api.id.HostId
import io.anvilvalve.api.id.Incarnation
import io.anvilvalve.api.id.RegionId
import io.anvilvalve.api.log.Member
import io.anvilvalve.api.peer.PeerMessage
import io.anvilvalve.api.release.BackendServer
import io.anvilvalve.api.release.Role
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.collections.shouldContainExactlyInAnyOrder
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** Guards against attempts that the backup host misses because deltas are lost, duplicated or reordered. */
class InFlightReplicationSpec :
    FunSpec({
        val sender = member("a")
        val server = BackendServer(BackendServerId("d0"), "127.0.0.1:1", DataCentreId("dc"), Role.DECODE)

        test("the replica equals the table after lost, duplicated and reordered deltas, once the network is quiet") {
            for (seed in 1..500) {
                val random = Random(seed)
                val network = ArrayDeque<() -> Unit>()
                lateinit var table: InFlightTable
                val backup = InFlightBackup { _, message ->
                    if (message is PeerMessage.InFlightResync) network += { table.resync(member("b")) }
                }
                table = InFlightTable { _, message ->
                    if (message is PeerMessage.InFlightDelta) network += { backup.apply(sender, message) }
                }
                table.replicateTo(member("b"))
                val running = HashSet<String>()
                var now = Duration.ZERO
                repeat(60) { step ->
                    now += 150.milliseconds
                    if (running.isNotEmpty() && random.nextInt(3) == 0) {
                        running.random(random).let {
                            running -= it
                            table.remove(it)
                        }
                    } else {
                        "q$step.1".let {
                            running += it
                            table.add(it, listOf(server))
                        }
                    }
                    table.flush(now)
                    if (random.nextInt(4) == 0) network.shuffle(random)
                    repeat(random.nextInt(3)) {
                        val deliver = network.removeFirstOrNull() ?: return@repeat
                        if (random.nextInt(5) > 0) deliver()
                        if (random.nextInt(5) == 0) deliver()
                    }
                }
                repeat(40) {
                    while (network.isNotEmpty()) network.removeFirst()()
                    now += 1_100.milliseconds
                    table.flush(now)
                }
                while (network.isNotEmpty()) network.removeFirst()()
                backup.remove(sender.incarnation).map { it.engineId } shouldContainExactlyInAnyOrder running
            }
        }

        test("additions after a gap are kept, because the sender may die before the full table arrives") {
            val backup = InFlightBackup { _, _ -> }
            val sent = ArrayList<PeerMessage.InFlightDelta>()
            val table = InFlightTable { _, message -> sent += message as PeerMessage.InFlightDelta }
            table.replicateTo(member("b"))
            for (id in listOf("q1.1", "q2.1", "q3.1")) {
                table.add(id, listOf(server))
                table.flush(Duration.ZERO)
            }
            backup.apply(sender, sent[0])
            backup.apply(sender, sent[2])
            backup.remove(sender.incarnation).map { it.engineId } shouldContainExactlyInAnyOrder listOf("q1.1", "q3.1")
        }
    })

private fun member(name: String) = Member(
    HostId(name),
    Incarnation("$name#1"),
    "127.0.0.1:1",
    DataCentreId("dc"),
    RegionId("r"),
)
