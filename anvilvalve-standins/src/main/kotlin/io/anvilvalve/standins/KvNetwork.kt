package io.anvilvalve.standins

import io.anvilvalve.api.port.KvHandle
import kotlin.time.Duration

/** How a decode engine reaches the prefill engine that holds a KV cache. */
interface KvNetwork {
    /** Starts the transfer of [handle]; returns the time that the sender's link needs, or null when it is gone. */
    suspend fun begin(handle: KvHandle): Duration?

    /** Ends the transfer of [handle] and frees the sender's memory; false when it was freed before. */
    suspend fun end(handle: KvHandle): Boolean
}
