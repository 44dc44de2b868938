package io.anvilvalve.report

import java.util.Locale

/** Formats a burn rate; a dash when there was no answer to judge. */
internal fun burnText(burn: Double?): String = burn?.let { String.format(Locale.ROOT, "%.1f", it) } ?: "-"

/** Formats a share as a percentage; a dash when there is no whole. */
internal fun percentText(share: Double?): String =
    share?.let { String.format(Locale.ROOT, "%.2f%%", it * PERCENT) } ?: "-"

/** Formats a count. */
internal fun countText(count: Double): String = String.format(Locale.ROOT, "%.0f", count)

private const val PERCENT = 100
