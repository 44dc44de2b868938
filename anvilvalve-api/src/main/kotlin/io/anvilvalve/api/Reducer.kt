package io.anvilvalve.api

import kotlin.time.Duration

/**
 * Decision logic without I/O: takes one event and returns the effects to perform.
 *
 * State is private to the reducer and owned by one thread. The same events at the same times give the same effects.
 */
interface Reducer<in E, out F> {
    /** Handles [event] at [now], the monotonic time since process start. */
    fun reduce(event: E, now: Duration): List<F>
}
