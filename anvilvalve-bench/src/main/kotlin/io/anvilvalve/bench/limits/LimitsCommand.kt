package io.anvilvalve.bench.limits

import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.core.Context
import com.github.ajalt.clikt.parameters.options.default
import com.github.ajalt.clikt.parameters.options.flag
import com.github.ajalt.clikt.parameters.options.multiple
import com.github.ajalt.clikt.parameters.options.option
import com.github.ajalt.clikt.parameters.types.choice
import com.github.ajalt.clikt.parameters.types.long
import com.github.ajalt.clikt.parameters.types.path
import kotlinx.serialization.json.Json
import java.util.Locale

/** `anvilvalve-bench limits`: measures token limits over several hosts in virtual time. */
internal class LimitsCommand : CliktCommand(name = "limits") {
    private val file by option("--workload", help = "workload file with a section [limits]")
        .path(mustExist = true, canBeDir = false)
    private val seed by option("--seed", help = "seed of the arrivals").long().default(1)
    private val scenarios by option("--scenario", help = "scenario to run; repeatable, default all")
        .choice(LimitsScenario.entries.associateBy { it.label }).multiple(LimitsScenario.entries)
    private val policies by option("--policy", help = "policy to run; repeatable, default all")
        .choice(*LimitsRun.POLICIES.toTypedArray()).multiple(LimitsRun.POLICIES)
    private val json by option("--json", help = "write one JSON object per line").flag()

    override fun help(context: Context): String = "Measures the token limits while hosts, regions and the log fail."

    override fun run() {
        val workload = file?.let { LimitsWorkload.read(it) } ?: LimitsWorkload()
        if (!json) echo(HEADER)
        scenarios.forEach { scenario ->
            policies.forEach { write(LimitsRun(workload, scenario, it, seed).measure()) }
        }
    }

    private fun write(result: LimitsResult) = echo(
        if (json) {
            Json.encodeToString(LimitsResult.serializer(), result)
        } else {
            result.run {
                "%-18s %-8s %8.4f %8.4f %8.4f %8.4f %10.0f %8.2f".format(
                    Locale.ROOT,
                    scenario,
                    policy,
                    peakOverCeilingRatio,
                    refusedWithinRateRatio,
                    worstOrganisationRefusedRatio,
                    admittedAtOnceRatio,
                    peerBytesPerHostPerSecond,
                    logAppendsPerSecond,
                )
            }
        },
    )

    private companion object {
        const val HEADER = "scenario           policy       peak  refused    worst  at once    bytes/s appends/s"
    }
}
