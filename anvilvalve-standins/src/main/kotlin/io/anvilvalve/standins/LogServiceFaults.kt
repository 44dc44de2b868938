package io.anvilvalve.standins

import kotlinx.coroutines.flow.MutableStateFlow
import kotlinx.coroutines.flow.StateFlow
import kotlin.time.Duration

/** Faults that a test injects into a [FakeLogService]; they take effect at once. */
class LogServiceFaults {
    private val outage = MutableStateFlow(false)

    internal val downState: StateFlow<Boolean> get() = outage

    /** Whether every call fails, including reads that wait. */
    var down: Boolean by outage::value

    /** Time by which each call is slower. */
    @Volatile
    var delay: Duration = Duration.ZERO

    /** Appends that take effect while their caller gets no answer. */
    val lostAnswers = FaultCounter()

    /** Appends that are lost before they take effect; the caller cannot tell them from [lostAnswers]. */
    val lostAppends = FaultCounter()
}
