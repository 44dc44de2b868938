package io.anvilvalve.net

import io.anvilvalve.api.result.bounded
import java.io.IOException

/** Class and message for a log line; the message may quote bytes of any length that a server has sent. */
val IOException.reason: String get() = "${javaClass.simpleName}: ${message.bounded()}"
