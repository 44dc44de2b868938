package io.anvilvalve.rules.release

/** Reason for which a snapshot chunk was ignored. */
enum class IgnoredChunk {
    /** Index, count or size is out of range. */
    MALFORMED,

    /** The chunk differs from earlier chunks of the same snapshot in count, covered offset or SHA-256. */
    CONTRADICTORY,

    /** A chunk with the same index arrived before. */
    DOUBLED,

    /** All chunks arrived, but the SHA-256 does not match. */
    DAMAGED,

    /** The snapshot was evicted before it was complete, because newer ones had started. */
    INCOMPLETE,
}
