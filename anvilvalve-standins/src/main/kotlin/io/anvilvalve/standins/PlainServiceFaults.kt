package io.anvilvalve.standins

import kotlin.time.Duration

/** Faults that a test injects into a [FakePlainService]. */
class PlainServiceFaults {
    /** Calls that are refused with 503 before they run. */
    val refusals = FaultCounter()

    /** Calls whose connection closes before they run. */
    val closedBeforeRun = FaultCounter()

    /** Calls whose connection closes after they ran; the answer is lost. */
    val lostAnswers = FaultCounter()

    /** Time that each run takes. */
    @Volatile
    var runTime: Duration = Duration.ZERO
}
