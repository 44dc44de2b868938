package io.anvilvalve.standins

/** Faults that a test injects into a [FakeEngine]. */
class EngineFaults {
    /** Whether all new work is refused with 503 before it runs. */
    @Volatile
    var refusesAll: Boolean = false

    /** Requests that are refused with 503 before they run. */
    val refusals = FaultCounter()

    /** Streams that break after [breakAfterTokens] tokens, without a finish reason. */
    val brokenStreams = FaultCounter()

    /** Tokens that a stream delivers before [brokenStreams] breaks it. */
    @Volatile
    var breakAfterTokens: Int = 10

    /** KV imports that never finish. */
    val stalledTransfers = FaultCounter()

    /** Prefills whose answer is lost; the result stays in memory until it expires. */
    val lostPrefillAnswers = FaultCounter()

    /** Cancels that take effect while their answer is lost. */
    val lostCancelAnswers = FaultCounter()

    /** Orders that take effect while their answer is lost. */
    val lostOrderAnswers = FaultCounter()

    /** Chunks that are delivered twice. */
    val duplicatedChunks = FaultCounter()

    /** Chunks that are delivered after the chunk that follows them. */
    val reorderedChunks = FaultCounter()

    /** Cache events that are never published; their sequence numbers are skipped. */
    val lostCacheEvents = FaultCounter()
}
