package io.anvilvalve.standins

import kotlinx.coroutines.flow.MutableStateFlow
import kotlinx.coroutines.flow.StateFlow
import kotlin.time.Duration

/** Faults that a test injects into a [FakeLogService]; they take effect immediately. */
class LogServiceFaults {
    private val outage = MutableStateFlow(false)

    internal val downState: StateFlow<Boolean> get() = outage

    /** Whether every call fails, including reads that are waiting. */
    var down: Boolean by outage::value

    /** Delay added to each call. */
    @Volatile
    var delay: Duration = Duration.ZERO

    /** Appends that take effect, but whose answer is lost. */
    val lostAnswers = FaultCounter()

    /** Appends that are lost before they take effect; the caller cannot tell them from [lostAnswers]. */
    val lostAppends = FaultCounter()
}
