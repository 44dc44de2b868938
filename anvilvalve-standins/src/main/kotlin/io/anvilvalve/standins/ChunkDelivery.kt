package io.anvilvalve.standins

import io.anvilvalve.api.port.TokenChunk

/** Duplicates and reorders the chunks of one stream according to [faults]. */
internal class ChunkDelivery(private val faults: EngineFaults) {
    private var delayedChunk: TokenChunk? = null

    /** Returns the chunks to deliver, in order, once [chunk] is generated. */
    fun chunksToDeliver(chunk: TokenChunk): List<TokenChunk> {
        val previous = delayedChunk
        delayedChunk = null
        val last = chunk.finishReason != null
        return when {
            previous != null -> listOf(chunk, previous)

            !last && faults.reorderedChunks.consume() -> {
                delayedChunk = chunk
                emptyList()
            }

            faults.duplicatedChunks.consume() -> listOf(chunk, chunk)

            else -> listOf(chunk)
        }
    }
}
