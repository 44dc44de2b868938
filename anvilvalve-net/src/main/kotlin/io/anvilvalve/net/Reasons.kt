package io.anvilvalve.net

import java.io.IOException

/** Class and message for a log line; the message may quote bytes of any length that a server has sent. */
val IOException.reason: String get() = "${javaClass.simpleName}: ${message.orEmpty().take(MAX_REASON_CHARACTERS)}"

private const val MAX_REASON_CHARACTERS = 200
