package io.anvilvalve.bench.policy

import io.anvilvalve.api.release.Role
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.collections.shouldContainExactly
import io.kotest.matchers.longs.shouldBeInRange
import io.kotest.matchers.shouldBe

/** Guards the step times, the slot limit and the failure handling of the simulated decode engine. */
class DecodeEngineSpec :
    FunSpec({
        val spec = WorkerSpec("d", "m", Role.DECODE, "c", 1.0, 2, 10, 0, 1.0, 0.0, 10_000.0, 1_000.0, 1)

        class Job(private val name: String, private val engine: DecodeEngine, private val log: MutableList<String>) :
            DecodeEngine.Job(tokens = 100, kvPieces = 4, priority = 0) {
            override fun onAdmitted() = engine.start(this)

            override fun onFirstToken() = Unit

            override fun onFinished() {
                log += name
            }

            override fun onFailed() {
                log += "$name failed after $delivered"
            }
        }

        test("two running requests slow each other down, and a third waits for a slot") {
            val simulation = Simulation()
            val engine = DecodeEngine(spec, simulation)
            val log = ArrayList<String>()
            listOf("a", "b", "c").forEach { engine.queue(Job(it, engine, log)) }
            engine.queued shouldBe 1
            simulation.run()
            log shouldContainExactly listOf("a", "b", "c")
            // 100 steps of 12 ms with two running requests, then 100 steps of 11 ms with one.
            simulation.now shouldBeInRange 2_299_000L..2_301_000L
        }

        test("a killed process fails its requests and keeps their counts of delivered tokens") {
            val simulation = Simulation()
            val engine = DecodeEngine(spec, simulation)
            val log = ArrayList<String>()
            engine.queue(Job("a", engine, log))
            simulation.after(550_000) {
                engine.kill()
                engine.speed = 0.0
            }
            simulation.run()
            log shouldContainExactly listOf("a failed after 50")
            engine.slotsUsed shouldBe 0
        }
    })
