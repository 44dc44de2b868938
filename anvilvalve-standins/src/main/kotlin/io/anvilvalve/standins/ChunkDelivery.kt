package io.anvilvalve.standins

import io.anvilvalve.api.port.TokenChunk

/** Doubles and reorders the chunks of one stream as [faults] say. */
internal class ChunkDelivery(private val faults: EngineFaults) {
    private var keptBack: TokenChunk? = null

    /** Returns what to deliver when the engine has generated [chunk]. */
    fun next(chunk: TokenChunk): List<TokenChunk> {
        val late = keptBack
        keptBack = null
        val last = chunk.finishReason != null
        return when {
            late != null -> listOf(chunk, late)

            !last && faults.reorderedChunks.take() -> {
                keptBack = chunk
                emptyList()
            }

            faults.doubledChunks.take() -> listOf(chunk, chunk)

            else -> listOf(chunk)
        }
    }
}
