package io.anvilvalve.rules.routing

/**
 * Load that a backend server states in an answer.
 *
 * @property running requests that it processes.
 * @property waiting requests in its queue.
 * @property slots requests that it can process at the same time.
 * @property slownessPercent present duration of work on its machine, in percent of the usual duration.
 */
data class ReportedLoad(val running: Int, val waiting: Int, val slots: Int, val slownessPercent: Int = USUAL_PERCENT) {
    private companion object {
        const val USUAL_PERCENT = 100
    }
}
