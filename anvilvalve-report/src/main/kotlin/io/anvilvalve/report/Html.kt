package io.anvilvalve.report

/** Escapes [text] for element content and double-quoted attributes of HTML and SVG. */
internal fun escapeHtml(text: String): String = text
    .replace("&", "&amp;")
    .replace("<", "&lt;")
    .replace(">", "&gt;")
    .replace("\"", "&quot;")
