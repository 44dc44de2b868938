package io.anvilvalve.bench

import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.core.Context
import com.github.ajalt.clikt.core.subcommands
import io.anvilvalve.bench.limits.LimitsCommand
import io.anvilvalve.bench.policy.PolicyCommand
import io.anvilvalve.bench.policy.SchedulerCommand
import io.anvilvalve.bench.router.RouterCommand
import io.anvilvalve.bench.slopes.SlopesCommand

/** Root command of `anvilvalve-bench`. */
internal class BenchCommand : CliktCommand(name = "anvilvalve-bench") {
    override fun help(context: Context): String = "Measures the policy, the limits and the router."

    override fun run() = Unit

    companion object {
        /** Root command with all subcommands registered. */
        fun withSubcommands(): CliktCommand = BenchCommand().subcommands(
            LimitsCommand(),
            PolicyCommand(),
            RouterCommand(),
            SchedulerCommand(),
            SlopesCommand(),
        )
    }
}
