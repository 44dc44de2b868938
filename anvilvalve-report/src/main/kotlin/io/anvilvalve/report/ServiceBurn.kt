package io.anvilvalve.report

/** Burn rates of the error budgets of one organisation and model. */
internal class ServiceBurn(val key: ServiceKey, private val totals: Map<Window, Totals>) {
    fun burn(window: Window, target: Target): Double? = totals.getValue(window).burn(target)

    fun total(window: Window): Totals = totals.getValue(window)

    /**
     * State of the target with the most urgent burn.
     *
     * FAST and OVER_BUDGET need a short and a long window at the limit, so that one bad minute does not raise them.
     */
    val state: BurnState
        get() = Target.entries.maxOf { target ->
            fun atLeast(window: Window, limit: Double) = (burn(window, target) ?: 0.0) >= limit
            when {
                atLeast(Window.FIVE_MINUTES, FAST_BURN) && atLeast(Window.ONE_HOUR, FAST_BURN) -> BurnState.FAST
                atLeast(Window.SIX_HOURS, 1.0) && atLeast(Window.THREE_DAYS, 1.0) -> BurnState.OVER_BUDGET
                atLeast(Window.ONE_HOUR, 1.0) -> BurnState.WATCH
                else -> BurnState.OK
            }
        }

    /** Largest burn over all windows and targets, used for sorting. */
    val maxBurn: Double get() = Window.entries.maxOf { window -> Target.entries.maxOf { burn(window, it) ?: 0.0 } }

    private companion object {
        /** Burn that uses up the error budget of three days in twelve hours. */
        const val FAST_BURN = 6.0
    }
}
