package io.anvilvalve.standins

import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.withTimeoutOrNull
import kotlin.time.Duration

/**
 * One attempt of a request in an engine; its mutable fields are guarded by the lock of [EngineScheduler].
 *
 * @property arrival number that orders attempts of equal [priority].
 */
internal class Attempt(val id: String, val prefill: Boolean, val pieces: Int, val priority: Int, val arrival: Long) {
    /** Completed with true once the attempt has a slot and memory, or with false if it is terminated before that. */
    val admitted = CompletableDeferred<Boolean>()

    /** Completed when the attempt is cancelled or its engine is killed. */
    val terminated = CompletableDeferred<Termination>()

    var holdsSlot = false
    var holdsMemory = false

    /** Time at which the exported prefill result expires; null unless exported. */
    var expiresAt: Duration? = null

    /** Why the attempt was terminated; null while it may continue. */
    @Volatile
    var terminationReason: Termination? = null
        private set

    fun terminate(reason: Termination) {
        terminationReason = reason
        terminated.complete(reason)
        admitted.complete(false)
    }

    /** Waits for [time] or until the attempt is terminated, whichever comes first. */
    suspend fun pause(time: Duration) {
        if (time > Duration.ZERO) withTimeoutOrNull(time) { terminated.await() }
    }
}
