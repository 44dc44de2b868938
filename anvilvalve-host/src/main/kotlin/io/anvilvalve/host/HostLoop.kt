package io.anvilvalve.host

import io.anvilvalve.api.Reducer
import java.util.concurrent.CompletableFuture
import java.util.concurrent.LinkedBlockingQueue
import kotlin.time.ComparableTimeMark
import kotlin.time.Duration

/**
 * Event loop: a single thread reduces the queued events and performs their effects in order.
 *
 * @param onError receives exceptions of the reducer and of effects. The loop continues after an exception; otherwise an
 * event that reaches every host could stop the whole fleet.
 */
internal class HostLoop<E : Any, F>(
    private val reducer: Reducer<E, F>,
    private val start: ComparableTimeMark,
    private val perform: (F) -> Unit,
    private val onError: (Throwable) -> Unit,
) {
    private val queue = LinkedBlockingQueue<QueuedEvent<E>>()
    private val thread = Thread(::run, "host-loop").apply { isDaemon = true }

    /** Monotonic time since the start of the host. */
    fun now(): Duration = start.elapsedNow()

    /** Queues [event]; never blocks. */
    fun post(event: E) {
        queue.add(QueuedEvent(event))
    }

    /** Queues [event]; the future completes when its effects have been performed or an exception was thrown. */
    fun process(event: E): CompletableFuture<Unit> = QueuedEvent(event, CompletableFuture()).also(queue::add).handled!!

    /** Queues [event], which may be lost, unless [limit] events are queued; returns whether [event] was queued. */
    fun offer(event: E, limit: Int): Boolean = queue.size < limit && queue.add(QueuedEvent(event))

    fun start() = thread.start()

    fun stop() {
        thread.interrupt()
        if (Thread.currentThread() !== thread) thread.join()
    }

    private fun run() {
        try {
            while (true) handle(queue.take())
        } catch (_: InterruptedException) {
            return
        }
    }

    @Suppress("TooGenericExceptionCaught")
    private fun handle(queued: QueuedEvent<E>) {
        try {
            reducer.reduce(queued.event, now()).forEach(perform)
        } catch (e: Exception) {
            if (e is InterruptedException) throw e
            onError(e)
        }
        queued.handled?.complete(Unit)
    }

    private class QueuedEvent<E>(val event: E, val handled: CompletableFuture<Unit>? = null)
}
