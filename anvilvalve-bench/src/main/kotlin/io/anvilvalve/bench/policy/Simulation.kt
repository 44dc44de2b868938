package io.anvilvalve.bench.policy

import java.util.PriorityQueue

/** Virtual clock in microseconds: runs actions in order of time, and of scheduling for equal times. */
internal class Simulation {
    private val actions = PriorityQueue<Action>(compareBy({ it.at }, { it.number }))
    private var number = 0L

    var now = 0L
        private set

    fun after(delay: Long, action: () -> Unit) {
        actions.add(Action(now + delay.coerceAtLeast(0), number++, action))
    }

    /** Runs [action] every [interval] microseconds until [end]. */
    fun every(interval: Long, end: Long, action: () -> Unit) {
        after(interval) {
            action()
            if (now < end) every(interval, end, action)
        }
    }

    fun run() {
        while (true) {
            val next = actions.poll() ?: return
            now = next.at
            next.run()
        }
    }

    private class Action(val at: Long, val number: Long, private val action: () -> Unit) {
        fun run() = action()
    }
}
