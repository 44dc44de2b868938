package io.anvilvalve.report

/** How urgent a burn is, least urgent first. */
internal enum class BurnState(val label: String) {
    OK("ok"),
    WATCH("watch"),
    OVER_BUDGET("over budget"),
    FAST("fast burn"),
}
