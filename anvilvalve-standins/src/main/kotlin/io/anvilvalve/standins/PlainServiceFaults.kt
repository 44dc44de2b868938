package io.anvilvalve.standins

import kotlin.time.Duration

/** Faults that a test injects into a [FakePlainService]. */
class PlainServiceFaults {
    /** Calls that are refused with 503 before they run. */
    val refusals = FaultCounter()

    /** Calls that do not run because their connection closes first. */
    val closedBeforeRun = FaultCounter()

    /** Calls that run, but whose connection closes before the answer. */
    val lostAnswers = FaultCounter()

    /** Duration of each run. */
    @Volatile
    var runTime: Duration = Duration.ZERO
}
