package io.anvilvalve.core

/**
 * Position in a caller's answer; decides for each chunk of a stream whether it is the next token.
 *
 * Not thread-safe; owned by the thread that writes to the caller.
 */
class StreamCursor {
    private var attempt = 0

    /** Number of delivered tokens, which is the sequence number of the next one. */
    var delivered: Int = 0
        private set

    /** Starts [attempt] and returns true if it is newer; chunks of earlier attempts are stale from then on. */
    fun begin(attempt: Int): Boolean {
        if (attempt <= this.attempt) return false
        this.attempt = attempt
        return true
    }

    /** Classifies the chunk with sequence number [index] of [attempt], and counts it if it is the next token. */
    fun accept(attempt: Int, index: Int): Verdict = when {
        attempt != this.attempt -> Verdict.STALE

        index < delivered -> Verdict.DUPLICATE

        index > delivered -> Verdict.GAP

        else -> {
            delivered++
            Verdict.NEXT
        }
    }

    /** Relation of a chunk to the caller's answer. */
    enum class Verdict {
        /** The next token; write it. */
        NEXT,

        /** Already delivered; skip it. */
        DUPLICATE,

        /** A preceding token is missing; the stream is broken. */
        GAP,

        /** Belongs to an attempt other than the running one; skip it. */
        STALE,
    }
}
