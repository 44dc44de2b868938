package io.anvilvalve.report

/** Urgency of a burn, in ascending order; the order is used for comparison. */
internal enum class BurnState(val label: String) {
    OK("ok"),
    WATCH("watch"),
    OVER_BUDGET("over budget"),
    FAST("fast burn"),
}
