package io.anvilvalve.host

import io.anvilvalve.api.Reducer
import java.util.concurrent.CompletableFuture
import java.util.concurrent.LinkedBlockingQueue
import kotlin.time.ComparableTimeMark
import kotlin.time.Duration

/**
 * The one queue of events and the one thread that reduces them and performs the effects in order.
 *
 * @param onError told of exceptions; the loop goes on, because an event that stopped every host would stop the fleet.
 */
internal class HostLoop<E : Any, F>(
    private val reducer: Reducer<E, F>,
    private val start: ComparableTimeMark,
    private val perform: (F) -> Unit,
    private val onError: (Throwable) -> Unit,
) {
    private val queue = LinkedBlockingQueue<QueuedEvent<E>>()
    private val thread = Thread(::run, "host-loop").apply { isDaemon = true }

    /** Monotonic time since process start. */
    fun now(): Duration = start.elapsedNow()

    /** Queues [event]; never blocks. */
    fun post(event: E) {
        queue.add(QueuedEvent(event))
    }

    /** Queues [event]; the future completes when its effects have been performed. */
    fun process(event: E): CompletableFuture<Unit> = QueuedEvent(event, CompletableFuture()).also(queue::add).handled!!

    /** Queues [event] unless [limit] events wait; for events that may be lost. */
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
