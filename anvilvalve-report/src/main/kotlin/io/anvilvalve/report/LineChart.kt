package io.anvilvalve.report

import java.util.Locale

/** SVG line chart of burn over time, with a line at 1.0, where the error budget is used up exactly. */
internal class LineChart(private val width: Int, private val height: Int, private val axes: Boolean) {
    /** Draws [values], oldest first; a null leaves a gap. */
    fun render(title: String, values: List<Double?>): String {
        val top = maxOf(MIN_TOP, values.maxOf { it ?: 0.0 })
        return buildString {
            append("""<svg role="img" viewBox="0 0 $width $height" width="$width" height="$height">""")
            append("<title>${escapeHtml(title)}</title>")
            if (axes) append(grid(top))
            append(line(0.0, 1.0, width.toDouble(), 1.0, top, "budget"))
            segments(values).forEach { append(polyline(it, values.size, top)) }
            append("</svg>")
        }
    }

    private fun grid(top: Double): String = GRID_VALUES.filter { it < top }.joinToString("") { value ->
        line(0.0, value, width.toDouble(), value, top, "grid") +
            """<text x="2" y="${decimal(y(value, top) - 2)}">${decimal(value)}</text>"""
    }

    private fun line(x1: Double, y1: Double, x2: Double, y2: Double, top: Double, style: String) =
        """<line class="$style" x1="${decimal(x1)}" y1="${decimal(y(y1, top))}" """ +
            """x2="${decimal(x2)}" y2="${decimal(y(y2, top))}"/>"""

    /** Splits [values] at nulls into runs of consecutive values with their indices. */
    private fun segments(values: List<Double?>): List<List<IndexedValue<Double>>> {
        val segments = mutableListOf(mutableListOf<IndexedValue<Double>>())
        values.forEachIndexed { index, value ->
            if (value == null) {
                segments += mutableListOf<IndexedValue<Double>>()
            } else {
                segments.last() += IndexedValue(index, value)
            }
        }
        return segments.filter { it.isNotEmpty() }
    }

    private fun polyline(points: List<IndexedValue<Double>>, count: Int, top: Double): String {
        val step = width.toDouble() / maxOf(1, count - 1)
        val coordinates = points.map { (index, value) -> decimal(index * step) to decimal(y(value, top)) }
        val (x, y) = coordinates.last()
        val line = coordinates.joinToString(" ") { "${it.first},${it.second}" }
        return """<polyline class="burn" points="$line"/><circle class="burn" cx="$x" cy="$y" r="2"/>"""
    }

    private fun y(value: Double, top: Double): Double = height - MARGIN - value / top * (height - 2 * MARGIN)

    private fun decimal(value: Double): String = String.format(Locale.ROOT, "%.1f", value)

    private companion object {
        const val MARGIN = 3
        const val MIN_TOP = 2.0
        val GRID_VALUES = listOf(5.0, 10.0, 15.0)
    }
}
