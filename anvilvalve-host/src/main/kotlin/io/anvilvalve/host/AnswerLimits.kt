package io.anvilvalve.host

import kotlin.time.Duration

/**
 * Limits on the answer to one caller.
 *
 * @param holding charged with what is held of the answer.
 * @param writeLimit time in which the caller must take each part that is written.
 */
internal class AnswerLimits(private val holding: ByteBudget.Holding, private val writeLimit: Duration) {
    /** Charges [bytes] of an answer that is held before it is sent; returns false if there is no room for them. */
    fun reserve(bytes: Int): Boolean = holding.reserve(bytes)

    /** Runs [write]; closes the connection if it takes too long. */
    inline fun write(write: () -> Unit) = holding.whileWriting(writeLimit, write)
}
