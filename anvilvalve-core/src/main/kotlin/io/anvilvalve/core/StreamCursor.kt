package io.anvilvalve.core

/**
 * Position of a caller's answer: decides for each chunk of a stream whether it is the next token.
 *
 * Not safe for use by several threads at once; the thread that writes to the caller owns it.
 */
class StreamCursor {
    private var attempt = 0

    /** Number of delivered tokens, which is the sequence number of the next one. */
    var delivered: Int = 0
        private set

    /** Starts [attempt]; chunks of earlier attempts are stale from now on. Returns whether it is newer than before. */
    fun begin(attempt: Int): Boolean {
        if (attempt <= this.attempt) return false
        this.attempt = attempt
        return true
    }

    /** Judges the chunk with sequence number [index] of [attempt], and counts it when it is the next token. */
    fun accept(attempt: Int, index: Int): Verdict = when {
        attempt != this.attempt -> Verdict.STALE

        index < delivered -> Verdict.DUPLICATE

        index > delivered -> Verdict.GAP

        else -> {
            delivered++
            Verdict.NEXT
        }
    }

    /** What a chunk is to the caller's answer. */
    enum class Verdict {
        /** The next token; write it. */
        NEXT,

        /** Already delivered; skip it. */
        DUPLICATE,

        /** A token before it is missing; the stream is broken. */
        GAP,

        /** Not of the attempt that runs; skip it. */
        STALE,
    }
}
