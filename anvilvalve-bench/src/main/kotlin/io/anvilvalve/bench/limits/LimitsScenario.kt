package io.anvilvalve.bench.limits

import kotlin.time.Duration
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Duration.Companion.seconds

/** Load pattern or fault of a run; [length] is the measured time after the warm-up. */
internal enum class LimitsScenario(val label: String, val length: Duration) {
    EVEN("even", 2.minutes),
    ONE_HOST("one-host", 2.minutes),
    FOUR_TIMES("four-times", 2.minutes),
    CRASH("host-crashed", 2.minutes),
    CHURN("host-churn", 5.minutes),
    LOG_DOWN("log-down-10min", 11.minutes),
    PARTITION("region-partition", 4.minutes),
    RESTART("fleet-restart", 2.minutes),
    ;

    companion object {
        val WARM_UP = 40.seconds
    }
}
