package io.anvilvalve.standins

import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** Network link that runs its transfers one after the other at [bytesPerSecond]. */
internal class SharedLink(private val bytesPerSecond: Long) {
    private var freeAt = Duration.ZERO

    /** Reserves the link for [bytes] at [now]; returns the time from [now] until their transfer is complete. */
    @Synchronized
    fun reserve(bytes: Long, now: Duration): Duration {
        freeAt = maxOf(freeAt, now) + (bytes.toDouble() / bytesPerSecond).seconds
        return freeAt - now
    }
}
