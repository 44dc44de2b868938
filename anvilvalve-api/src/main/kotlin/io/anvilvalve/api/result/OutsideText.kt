package io.anvilvalve.api.result

private const val MAX_CHARACTERS = 200

/** This text, which came from outside and may have any length, shortened for messages, log lines and events. */
fun String?.bounded(limit: Int = MAX_CHARACTERS): String = orEmpty().take(limit)
