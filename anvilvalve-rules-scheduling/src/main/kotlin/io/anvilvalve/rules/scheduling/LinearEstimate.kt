package io.anvilvalve.rules.scheduling

/**
 * Fits `y = offset + slope * x` to observations whose weight decays exponentially with their age.
 *
 * Ridge regularisation draws the slope towards that of the prior, scaled to the mean observation. Observations at a
 * single `x` therefore scale the prior and do not fit a line.
 */
internal class LinearEstimate(private val priorOffset: Double, private val priorSlope: Double) {
    private var weight = 0.0
    private var meanX = 0.0
    private var meanY = 0.0
    private var varX = 0.0
    private var covXY = 0.0

    /** Whether anything was observed. */
    val learned: Boolean get() = weight > 0.0

    var offset = priorOffset
        private set
    var slope = priorSlope
        private set

    fun predict(x: Double): Double = offset + slope * x

    /** Records the observation of [y] at [x]. */
    fun observe(x: Double, y: Double) {
        weight = weight * DECAY + 1.0
        val share = 1.0 / weight
        val dx = x - meanX
        val dy = y - meanY
        meanX += share * dx
        meanY += share * dy
        varX = (1 - share) * (varX + share * dx * dx)
        covXY = (1 - share) * (covXY + share * dx * dy)
        fit()
    }

    private fun fit() {
        val scale = meanY / (priorOffset + priorSlope * meanX)
        val ridge = RIDGE * meanX * meanX + Double.MIN_VALUE
        slope = ((covXY + ridge * scale * priorSlope) / (varX + ridge)).coerceAtLeast(0.0)
        offset = meanY - slope * meanX
        if (offset < 0.0) {
            offset = 0.0
            slope = if (meanX > 0.0) meanY / meanX else slope
        }
    }

    private companion object {
        const val DECAY = 0.95
        const val RIDGE = 0.05
    }
}
