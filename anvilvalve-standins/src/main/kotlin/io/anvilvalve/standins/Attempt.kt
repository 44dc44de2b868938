package io.anvilvalve.standins

import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.withTimeoutOrNull
import kotlin.time.Duration

/**
 * One attempt in an engine; [EngineScheduler] guards its mutable fields.
 *
 * @property arrival number that orders attempts of equal [priority].
 */
internal class Attempt(val id: String, val prefill: Boolean, val pieces: Int, val priority: Int, val arrival: Long) {
    /** Completed with true once the attempt has slot and memory, with false when it ended before. */
    val admitted = CompletableDeferred<Boolean>()

    /** Completed when the attempt is cancelled or its engine is killed. */
    val terminated = CompletableDeferred<Termination>()

    var holdsSlot = false
    var holdsMemory = false

    /** Time at which an exported prefill result is dropped; null unless exported. */
    var expiresAt: Duration? = null

    /** Why the attempt ended early; null while it may continue. */
    @Volatile
    var terminationReason: Termination? = null
        private set

    fun terminate(reason: Termination) {
        terminationReason = reason
        terminated.complete(reason)
        admitted.complete(false)
    }

    /** Waits for [time] or until the attempt ends early, whichever comes first. */
    suspend fun pause(time: Duration) {
        if (time > Duration.ZERO) withTimeoutOrNull(time) { terminated.await() }
    }
}
