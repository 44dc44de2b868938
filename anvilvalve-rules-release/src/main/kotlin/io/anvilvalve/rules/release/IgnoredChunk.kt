package io.anvilvalve.rules.release

/** Why a chunk of a snapshot was of no use. */
enum class IgnoredChunk {
    /** Index, count or size is out of range. */
    MALFORMED,

    /** It differs from earlier chunks of the same snapshot in count, covered offset or SHA-256. */
    CONTRADICTORY,

    /** The same part arrived before. */
    DOUBLED,

    /** All parts arrived, and the SHA-256 does not fit. */
    DAMAGED,

    /** Newer snapshots began before this one was complete. */
    INCOMPLETE,
}
