package io.anvilvalve.bench.limits

import org.ini4j.Ini
import java.nio.file.Path
import kotlin.io.path.inputStream
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * Hosts, organisations and traffic of the limits benchmark, read from section `[limits]` of a workload file.
 *
 * @property rate tokens per second of each organisation.
 * @property load tokens per second that an organisation within its rate uses, as a ratio of [rate].
 * @property requestTokens mean number of tokens that a request is charged.
 * @property usedRatio mean share of the charged tokens that a request uses.
 * @property runTime mean time from admission to completion of a request.
 * @property maxWait longest time that a request waits for tokens; key `patience_ms`.
 */
internal data class LimitsWorkload(
    val hosts: Int = 7,
    val organisations: Int = 5,
    val rate: Long = 10_000,
    val burst: Long = 65_536,
    val load: Double = 0.9,
    val requestTokens: Int = 1_200,
    val usedRatio: Double = 0.6,
    val runTime: Duration = 4_000.milliseconds,
    val maxWait: Duration = 1_000.milliseconds,
) {
    companion object {
        /** Reads the workload from [path]; missing keys keep their defaults. */
        fun read(path: Path): LimitsWorkload {
            val section = Ini().apply { path.inputStream().use { load(it) } }["limits"] ?: return LimitsWorkload()
            val default = LimitsWorkload()
            return LimitsWorkload(
                hosts = section["hosts"]?.toInt() ?: default.hosts,
                organisations = section["organisations"]?.toInt() ?: default.organisations,
                rate = section["rate"]?.toLong() ?: default.rate,
                burst = section["burst"]?.toLong() ?: default.burst,
                load = section["load"]?.toDouble() ?: default.load,
                requestTokens = section["request_tokens"]?.toInt() ?: default.requestTokens,
                usedRatio = section["used_ratio"]?.toDouble() ?: default.usedRatio,
                runTime = section["run_ms"]?.toInt()?.milliseconds ?: default.runTime,
                maxWait = section["patience_ms"]?.toInt()?.milliseconds ?: default.maxWait,
            )
        }
    }
}
