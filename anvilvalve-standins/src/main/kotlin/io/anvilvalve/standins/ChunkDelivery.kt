package io.anvilvalve.standins

import io.anvilvalve.api.port.TokenChunk

/** Doubles and reorders the chunks of one stream as [faults] say. */
internal class ChunkDelivery(private val faults: EngineFaults) {
    private var delayedChunk: TokenChunk? = null

    /** Returns what to deliver when the engine has generated [chunk]. */
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
