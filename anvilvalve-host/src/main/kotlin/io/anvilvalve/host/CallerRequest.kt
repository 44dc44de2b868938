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
 * A caller's request that is open on this host.
 *
 * The thread of the request takes [steps] and works on them; the effect runner and the caller watch hand them over and
 * may stop attempts from their own threads, because the thread of the request blocks while it relays tokens.
 */
internal class CallerRequest(val id: RequestId) {
    /** Work for the thread of the request; null ends it without an answer. */
    val steps = Channel<HostEffect?>(Channel.UNLIMITED)

    private val attemptJobs = ConcurrentHashMap<Int, Job>()
    private val stoppedAttempts = ConcurrentHashMap.newKeySet<Int>()

    @Volatile
    private var finished = false

    /** Whether the caller has closed its connection. */
    @Volatile
    var gone: Boolean = false

    /** Attempts that were sent and may have run; an attempt that did not run is taken back. */
    private val possiblyExecuted = AtomicInteger()

    /** What is true of the request when it ends with an error of [code]. */
    fun executed(code: ResultCode): Executed = if (possiblyExecuted.get() > 0) Executed.UNKNOWN else code.executed

    /** Notes that an attempt is about to be sent. */
    fun recordAttemptSent() {
        possiblyExecuted.incrementAndGet()
    }

    /** Takes [recordAttemptSent] back when [fault] says that the attempt did not run. */
    fun recordAttemptResult(fault: BackendFault?) {
        if (fault?.executed == Executed.NO) possiblyExecuted.decrementAndGet()
    }

    /** Hands over a step that starts work. */
    fun enqueue(step: HostEffect) {
        steps.trySend(step)
    }

    /** Hands over the last step and stops whatever still runs. */
    fun finish(step: HostEffect?) {
        finished = true
        steps.trySend(step)
        attemptJobs.values.forEach { it.cancel(CancellationException("the request ended")) }
    }

    /** Stops [attempt]; it does not start later either. */
    fun stopAttempt(attempt: Int) {
        stoppedAttempts += attempt
        attemptJobs[attempt]?.cancel(CancellationException("the attempt was stopped"))
    }

    /** Makes the lazily started [job] of [attempt] stoppable and starts it unless it was stopped before. */
    fun startAttempt(attempt: Int, job: Job) {
        attemptJobs[attempt] = job
        if (finished || attempt in stoppedAttempts) job.cancel() else job.start()
    }
}
