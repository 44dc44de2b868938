package io.anvilvalve.bench.policy

import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.core.Context
import com.github.ajalt.clikt.core.UsageError
import com.github.ajalt.clikt.parameters.options.default
import com.github.ajalt.clikt.parameters.options.flag
import com.github.ajalt.clikt.parameters.options.multiple
import com.github.ajalt.clikt.parameters.options.option
import com.github.ajalt.clikt.parameters.types.choice
import com.github.ajalt.clikt.parameters.types.long
import com.github.ajalt.clikt.parameters.types.path
import kotlinx.serialization.json.Json
import java.nio.file.Path
import java.util.Locale
import kotlin.io.path.Path
import kotlin.io.path.isDirectory
import kotlin.io.path.listDirectoryEntries

/** `anvilvalve-bench policy`: measures scheduling policies in virtual time. */
internal class PolicyCommand : CliktCommand(name = "policy") {
    private val workloads by option("--workload", help = "workload file; repeatable, default bench/workloads/*.ini")
        .path(mustExist = true, canBeDir = false).multiple()
    private val seed by option("--seed", help = "seed of the arrivals").long().default(1)
    private val policies by option("--policy", help = "policy to run; repeatable, default all")
        .choice(*PolicyRun.POLICIES.toTypedArray()).multiple(PolicyRun.POLICIES)
    private val json by option("--json", help = "write one JSON object per line").flag()

    override fun help(context: Context): String = "Measures scheduling policies on a workload."

    override fun run() {
        if (!json) echo(HEADER)
        for (file in workloads.ifEmpty { defaults() }) {
            for (workload in WorkloadFile(file).variants()) {
                val run = PolicyRun(workload, seed)
                val cases = workload.loads.flatMap { load -> policies.map { it to load } }
                cases.parallelStream().map { (policy, load) -> run.measure(policy, load) }.toList().forEach(::write)
            }
        }
    }

    private fun defaults(): List<Path> {
        if (!DIRECTORY.isDirectory()) throw UsageError("no --workload given, and $DIRECTORY is not a directory here")
        return DIRECTORY.listDirectoryEntries("*.ini").sorted()
    }

    private fun write(result: PolicyResult) = echo(
        if (json) {
            Json.encodeToString(PolicyResult.serializer(), result)
        } else {
            result.run {
                "%-28s %4.1f %-8s %8.4f %8.4f %8.4f %8.4f %8.4f".format(
                    Locale.ROOT,
                    workload,
                    load,
                    policy,
                    goodputRatio,
                    boundRatio,
                    wastedPrefillRatio,
                    worstOrganisationRatio,
                    refusedWithinRateRatio,
                )
            }
        },
    )

    private companion object {
        val DIRECTORY = Path("bench/workloads")
        const val HEADER = "workload                     load policy    goodput  / bound   wasted    worst  refused"
    }
}
