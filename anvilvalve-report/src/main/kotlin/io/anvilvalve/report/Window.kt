package io.anvilvalve.report

import kotlin.time.Duration
import kotlin.time.Duration.Companion.days
import kotlin.time.Duration.Companion.hours
import kotlin.time.Duration.Companion.minutes

/** Length of time before the report over which burn is computed. */
internal enum class Window(val length: Duration, val label: String) {
    FIVE_MINUTES(5.minutes, "5 min"),
    ONE_HOUR(1.hours, "1 h"),
    SIX_HOURS(6.hours, "6 h"),
    THREE_DAYS(3.days, "3 d"),
}
