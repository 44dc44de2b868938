package io.anvilvalve.bench.policy

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.collections.shouldContain
import io.kotest.matchers.doubles.shouldBeGreaterThan
import io.kotest.matchers.doubles.shouldBeLessThan
import io.kotest.matchers.shouldBe
import java.nio.file.Path

/** Guards against figures that vary for one seed, and against simulated engines that serve more than their capacity. */
class PolicyRunSpec :
    FunSpec({
        val files = listOf("cascade", "kocabas").map { Path.of("../bench/workloads/$it.ini") }

        fun short(file: Path, variant: String = ""): Workload = WorkloadFile(file).variants()
            .first { it.name.substringAfter('/', "") == variant }
            .copy(durationMicros = 40_000_000, warmupMicros = 10_000_000, cooldownMicros = 5_000_000)

        test("the committed workloads have all variants, seven hosts and five organisations") {
            files.map { WorkloadFile(it).variants() }.forEach { variants ->
                listOf("surge", "mixed-speed", "lagging-reports", "faults").forEach { name ->
                    variants.map { it.name.substringAfter('/', "") } shouldContain name
                }
                variants.first().hosts.size shouldBe 7
                variants.first().organisations.size shouldBe 5
            }
        }

        test("the same seed gives the same figures for every policy") {
            val workload = short(files.first(), "faults")
            PolicyRun.POLICIES.forEach { policy ->
                PolicyRun(workload, 1).measure(policy, 0.9) shouldBe PolicyRun(workload, 1).measure(policy, 0.9)
            }
        }

        test("no policy serves more than the capacity in overload, and the scheduler wastes less than 1% of prefill") {
            files.forEach { file ->
                val run = PolicyRun(short(file), 1)
                listOf("naive", "v1", "v2").forEach { run.measure(it, 1.5).goodputRatio shouldBeLessThan 0.85 }
                run.measure("current", 1.5).wastedPrefillRatio shouldBeLessThan 0.01
            }
        }

        test("the scheduler reaches 97% of the bound at 0.9x load and has more goodput than every baseline") {
            files.forEach { file ->
                val run = PolicyRun(short(file), 1)
                val current = run.measure("current", 0.9)
                current.boundRatio shouldBeGreaterThan 0.97
                listOf("naive", "v1", "v2").forEach {
                    run.measure(it, 0.9).goodputRatio shouldBeLessThan current.goodputRatio
                }
            }
        }
    })
