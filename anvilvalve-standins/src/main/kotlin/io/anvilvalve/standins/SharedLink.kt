package io.anvilvalve.standins

import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** A link whose transfers follow each other at [bytesPerSecond]. */
internal class SharedLink(private val bytesPerSecond: Long) {
    private var freeAt = Duration.ZERO

    /** Books [bytes] at [now] and returns the time until they are through. */
    @Synchronized
    fun reserve(bytes: Long, now: Duration): Duration {
        freeAt = maxOf(freeAt, now) + (bytes.toDouble() / bytesPerSecond).seconds
        return freeAt - now
    }
}
