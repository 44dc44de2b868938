package io.anvilvalve.bench.policy

import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.core.Context
import com.github.ajalt.clikt.parameters.options.default
import com.github.ajalt.clikt.parameters.options.flag
import com.github.ajalt.clikt.parameters.options.multiple
import com.github.ajalt.clikt.parameters.options.option
import com.github.ajalt.clikt.parameters.types.long
import com.github.ajalt.clikt.parameters.types.path

/** `anvilvalve-bench policy`: the four policy metrics, in virtual time. */
internal class PolicyCommand : CliktCommand(name = "policy") {
    private val workload by option("--workload", help = "workload file").path(mustExist = true, canBeDir = false)
    private val seed by option("--seed", help = "seed of the arrivals").long().default(1)
    private val policies by option("--policy", help = "policy to run; repeatable, default all").multiple()
    private val json by option("--json", help = "write one JSON object per line").flag()

    override fun help(context: Context): String = "Measures scheduling policies on a workload."

    override fun run() = Unit
}
