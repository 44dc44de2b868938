package io.anvilvalve.standins

import kotlinx.coroutines.delay
import kotlin.time.Duration

/** Schedule of one stream's tokens; a late token does not delay those after it. */
internal class TokenPace(private val tokenTime: () -> Duration) {
    private var nextAt: Duration? = null

    /** Waits from [now] until the next token is due. */
    suspend fun awaitNext(now: Duration) {
        val step = tokenTime()
        // After a long pause, a slow reader receives the missed tokens at the usual pace instead of all at once.
        val due = maxOf((nextAt ?: now) + step, now - step)
        nextAt = due
        if (due > now) delay(due - now)
    }
}
