package io.anvilvalve.host

import io.anvilvalve.api.Reducer
import java.util.concurrent.CompletableFuture
import java.util.concurrent.LinkedBlockingQueue
import java.util.concurrent.TimeUnit
import kotlin.time.ComparableTimeMark
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * Event loop: a single thread reduces the queued events and performs their effects in order.
 *
 * @param tick event that the loop handles at intervals in addition to the queued ones; null for none.
 * @param isBusy whether ticks must be frequent.
 * @param onError receives exceptions of the reducer and of effects. The loop continues after an exception; otherwise an
 * event that reaches every host could stop the whole fleet.
 * @param onEnd receives an error, such as an exhausted heap, that ends the loop; the process must not go on without it.
 */
internal class HostLoop<E : Any, F>(
    private val reducer: Reducer<E, F>,
    private val start: ComparableTimeMark,
    private val perform: (F) -> Unit,
    private val onError: (Throwable) -> Unit,
    private val tick: E? = null,
    private val isBusy: () -> Boolean = { false },
    private val onEnd: (Error) -> Unit = {},
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

    @Suppress("TooGenericExceptionCaught")
    private fun run() {
        try {
            if (tick == null) {
                while (true) handle(queue.take())
            } else {
                runWithTicks(tick)
            }
        } catch (_: InterruptedException) {
            return
        } catch (e: Error) {
            onEnd(e)
        }
    }

    /** An idle host ticks less often, because a wake-up costs more than most ticks. */
    private fun runWithTicks(tick: E) {
        var tickAt = now()
        while (true) {
            val event = queue.poll((tickAt - now()).inWholeMicroseconds, TimeUnit.MICROSECONDS)
            if (event != null) {
                handle(event)
                if (isBusy()) tickAt = minOf(tickAt, now() + TICK_INTERVAL)
            }
            if (now() < tickAt) continue
            handle(QueuedEvent(tick))
            tickAt = now() + if (isBusy()) TICK_INTERVAL else IDLE_TICK_INTERVAL
        }
    }

    private fun handle(queued: QueuedEvent<E>) {
        var effects = emptyList<F>()
        reportingErrors { effects = reducer.reduce(queued.event, now()) }
        // An effect that fails must not prevent the others, which the rules count as performed.
        effects.forEach { reportingErrors { perform(it) } }
        queued.handled?.complete(Unit)
    }

    @Suppress("TooGenericExceptionCaught")
    private inline fun reportingErrors(action: () -> Unit) = try {
        action()
    } catch (e: Exception) {
        if (e is InterruptedException) throw e
        onError(e)
    }

    private companion object {
        val TICK_INTERVAL = 25.milliseconds
        val IDLE_TICK_INTERVAL = 100.milliseconds
    }

    private class QueuedEvent<E>(val event: E, val handled: CompletableFuture<Unit>? = null)
}
