package io.anvilvalve.host

import io.anvilvalve.api.id.RequestId
import io.anvilvalve.api.port.BackendFault
import io.anvilvalve.api.result.Executed
import io.anvilvalve.api.result.ResultCode
import io.anvilvalve.core.HostEffect
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.Job
import kotlinx.coroutines.channels.Channel
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.AtomicInteger

/**
 * A caller's request that is in flight on this host.
 *
 * The request thread processes [steps]. The effect runner and the caller watch enqueue them and may stop attempts from
 * their own threads, because the request thread blocks while it relays tokens.
 */
internal class CallerRequest(val id: RequestId) {
    /** Steps for the request thread; null ends the request without an answer. */
    val steps = Channel<HostEffect?>(Channel.UNLIMITED)

    private val attemptJobs = ConcurrentHashMap<Int, Job>()
    private val stoppedAttempts = ConcurrentHashMap.newKeySet<Int>()

    @Volatile
    private var finished = false

    /** Whether the caller closed its connection or the request timed out. */
    @Volatile
    var gone: Boolean = false

    /** Number of sent attempts that may have been executed. */
    private val possiblyExecuted = AtomicInteger()

    /** Returns whether the request may have been executed when it ends with an error of [code]. */
    fun executed(code: ResultCode): Executed = if (possiblyExecuted.get() > 0) Executed.UNKNOWN else code.executed

    /** Counts an attempt as possibly executed. Call before the attempt is sent. */
    fun recordAttemptStart() {
        possiblyExecuted.incrementAndGet()
    }

    /** Reverts [recordAttemptStart] if [fault] states that the attempt was not executed; null means success. */
    fun recordAttemptResult(fault: BackendFault?) {
        if (fault?.executed == Executed.NO) possiblyExecuted.decrementAndGet()
    }

    /** Enqueues a step that starts an attempt. */
    fun enqueue(step: HostEffect) {
        steps.trySend(step)
    }

    /** Enqueues [step] as the last one and cancels all running attempts; null ends without an answer. */
    fun finish(step: HostEffect?) {
        finished = true
        steps.trySend(step)
        attemptJobs.values.forEach { it.cancel(CancellationException("request finished")) }
    }

    /** Cancels [attempt] if it runs, and prevents a later start. */
    fun stopAttempt(attempt: Int) {
        stoppedAttempts += attempt
        attemptJobs[attempt]?.cancel(CancellationException("attempt stopped"))
    }

    /** Registers the lazily started [job] of [attempt] and starts it, unless the attempt was stopped before. */
    fun startAttempt(attempt: Int, job: Job) {
        attemptJobs[attempt] = job
        if (finished || attempt in stoppedAttempts) job.cancel() else job.start()
    }
}
