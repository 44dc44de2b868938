package io.anvilvalve.demo

import kotlin.time.Duration

/**
 * What a caller got.
 *
 * @property complete whether the answer ended in the form of a whole answer.
 * @property error code of an error body or event.
 * @property notRun whether the error says that the request was not run.
 */
internal data class CallerAnswer(
    val status: Int,
    val text: String,
    val complete: Boolean,
    val error: String? = null,
    val notRun: Boolean = false,
    val firstToken: Duration? = null,
    val duration: Duration = Duration.ZERO,
) {
    /** Whether the answer says, before any of it was sent, that the request was not run. */
    val isRefusal: Boolean get() = notRun && text.isEmpty()

    /** Returns what is wrong with this answer to [call]; null when nothing is, or when it truly was not run. */
    fun findViolation(call: ModelCall): String? = reason(call)?.let { "$it; $call" }

    private fun reason(call: ModelCall): String? = when {
        !call.expected.startsWith(text) -> "wrong or doubled text"
        call.cancelAfter != null || isRefusal -> null
        error != null -> "failed with $error, status $status"
        !complete || text != call.expected -> "cut after ${text.length} of ${call.expected.length} characters"
        else -> null
    }
}
