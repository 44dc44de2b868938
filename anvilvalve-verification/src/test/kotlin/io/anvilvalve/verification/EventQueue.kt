package io.anvilvalve.verification

import java.util.PriorityQueue
import kotlin.time.Duration

/** Runs actions in virtual time; actions due at the same time run in the order in which they were scheduled. */
internal class EventQueue {
    private class Entry(val at: Duration, val sequence: Long, val action: () -> Unit)

    private val queue = PriorityQueue<Entry>(compareBy<Entry> { it.at }.thenBy { it.sequence })
    private var sequence = 0L

    var now = Duration.ZERO
        private set

    fun schedule(delay: Duration, action: () -> Unit) {
        queue += Entry(now + delay, sequence++, action)
    }

    fun runUntil(end: Duration) {
        while (true) {
            val next = queue.peek()?.takeIf { it.at <= end } ?: break
            queue.remove()
            now = next.at
            next.action()
        }
        now = end
    }
}
