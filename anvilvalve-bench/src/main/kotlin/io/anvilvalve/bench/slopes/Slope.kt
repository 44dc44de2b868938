package io.anvilvalve.bench.slopes

/**
 * Linear fit of a cost that was measured at several sizes.
 *
 * @property unit unit of the cost; [slope] is the cost of one more [per].
 * @property points pairs of size and cost, in order of size.
 */
internal data class Slope(val name: String, val unit: String, val per: String, val points: List<Pair<Double, Double>>) {
    private val meanX = points.map { it.first }.average()
    private val meanY = points.map { it.second }.average()

    /** Cost of one more [per], by least squares. */
    val slope: Double =
        points.sumOf { (x, y) -> (x - meanX) * (y - meanY) } / points.sumOf { (x, _) -> square(x - meanX) }

    /** Cost at size zero by the fit. */
    val base: Double = meanY - slope * meanX

    fun at(size: Double): Double = base + slope * size

    private fun square(x: Double): Double = x * x
}
