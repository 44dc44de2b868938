package io.anvilvalve.rules.routing

/**
 * How many requests a second a cold backend server may get from all hosts together: what it tolerates, multiplied by
 * [overshoot], plus [slack].
 */
data class ColdTerms(val overshoot: Double = 1.0, val slack: Double = 0.0) {
    /** Requests that a server which tolerates [perSecond] requests a second may get in any second. */
    fun bound(perSecond: Double): Double = perSecond * overshoot + slack
}
