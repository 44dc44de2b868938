package io.anvilvalve.demo

import kotlin.time.Duration

/**
 * The answer to a request, as the caller received it.
 *
 * @property complete whether the answer ended with a finish reason and, if streamed, with `[DONE]`.
 * @property error code from an error body or event, or the text of an I/O exception.
 * @property notRun whether the error says that the request was not executed.
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
    /** Whether the request was refused as not executed, before any text was sent. */
    val isRefusal: Boolean get() = notRun && text.isEmpty()

    /** Returns why this answer to [call] is wrong; null if it is correct, cancelled or a refusal. */
    fun findViolation(call: ModelCall): String? = reason(call)?.let { "$it; $call" }

    private fun reason(call: ModelCall): String? = when {
        !call.expected.startsWith(text) -> "wrong or duplicated text"
        call.cancelAfter != null || isRefusal -> null
        error != null -> "failed with $error, status $status"
        !complete || text != call.expected -> "truncated after ${text.length} of ${call.expected.length} characters"
        else -> null
    }
}
