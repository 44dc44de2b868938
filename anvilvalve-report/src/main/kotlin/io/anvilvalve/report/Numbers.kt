package io.anvilvalve.report

import java.util.Locale

/** Formats a burn rate with one decimal; null, for no answers, gives a dash. */
internal fun burnText(burn: Double?): String = burn?.let { String.format(Locale.ROOT, "%.1f", it) } ?: "-"

/** Formats a share as a percentage with two decimals; null gives a dash. */
internal fun percentText(share: Double?): String =
    share?.let { String.format(Locale.ROOT, "%.2f%%", it * PERCENT) } ?: "-"

/** Formats a count without decimals. */
internal fun countText(count: Double): String = String.format(Locale.ROOT, "%.0f", count)

private const val PERCENT = 100
