package io.anvilvalve.report

/** Replaces the characters that HTML and SVG give a meaning to. */
internal fun escapeHtml(text: String): String = text
    .replace("&", "&amp;")
    .replace("<", "&lt;")
    .replace(">", "&gt;")
    .replace("\"", "&quot;")
