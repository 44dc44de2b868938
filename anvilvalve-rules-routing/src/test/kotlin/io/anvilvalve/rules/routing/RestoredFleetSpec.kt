package io.anvilvalve.rules.routing

import io.anvilvalve.api.routing.RoutingConfiguration
import io.kotest.assertions.withClue
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import kotlin.random.Random
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Plays restores of the store among cuts, freezes and restarts of hosts while versions are published. */
private class RestoredFleet(size: Int, seed: Long) {
    val fleet = FleetSimulation(size, seed = seed)
    private val random = Random(seed)
    private val lost = ArrayDeque<RoutingConfiguration>()
    private val published = ArrayList<RoutingConfiguration>()

    /** Versions that incarnations that have ended applied. */
    val endedVersions = ArrayList<List<Long>>()

    val newest: Long get() = published.last().version

    fun play(steps: Int) {
        publish()
        repeat(steps) {
            step()
            fleet.run(random.nextInt(MAX_STEP_MILLIS).milliseconds)
        }
        fleet.hosts.forEach {
            it.isFrozen = false
            it.readsStore = true
            if (!it.isAlive) fleet.restart(it)
        }
        while (lost.isNotEmpty()) writeLost()
        publish()
    }

    private fun step() {
        val host = fleet.hosts.random(random)
        when (random.nextInt(ACTIONS)) {
            0 -> restore()
            1 -> host.readsStore = !host.readsStore
            2 -> host.isFrozen = !host.isFrozen
            3 -> restart(host)
            else -> if (lost.isEmpty()) publish() else writeLost()
        }
    }

    private fun publish() {
        published += configuration(version = (published.size + 1) * VERSION_STEP)
        fleet.publish(published.last())
    }

    /** The operators write again what the store has lost: the oldest first, or only the newest. */
    private fun writeLost() {
        if (random.nextBoolean()) while (lost.size > 1) lost.removeFirst()
        fleet.publish(lost.removeFirst())
    }

    private fun restore() {
        val lostNow = fleet.restoreStore(random.nextInt(MAX_LOST + 1), setOf(fleet.hosts.random(random).name))
        lostNow.reversed().forEach(lost::addFirst)
    }

    private fun restart(host: FleetSimulation.Host) {
        if (host.isAlive) {
            endedVersions += host.versions.toList()
            fleet.kill(host)
        } else {
            fleet.restart(host)
        }
    }

    private companion object {
        const val ACTIONS = 7
        const val MAX_LOST = 3
        const val VERSION_STEP = 3L
        const val MAX_STEP_MILLIS = 1_200
    }
}

/** Guards against a fleet in which a restored store takes a version back, hides one, or loses entries of hosts. */
class RestoredFleetSpec :
    FunSpec({
        class Size(val hosts: Int, val seeds: LongRange)

        listOf(Size(hosts = 7, seeds = 1L..20L), Size(hosts = 20, seeds = 1L..5L)).forEach { size ->
            test("no version is taken back, and the newest is in force on all of ${size.hosts} hosts, after restores") {
                for (seed in size.seeds) {
                    withClue("seed $seed") {
                        val played = RestoredFleet(size.hosts, seed)
                        played.play(steps = 30)
                        played.fleet.run(3.seconds)
                        val all = played.fleet.hosts.map { it.versions } + played.endedVersions
                        all.filter { it != it.sorted() } shouldBe emptyList()
                        played.fleet.hosts.map { it.versions.lastOrNull() }.toSet() shouldBe setOf(played.newest)
                        played.fleet.announced.size shouldBe size.hosts
                    }
                }
            }
        }
    })
