package io.anvilvalve.standins

import io.anvilvalve.api.port.KvHandle
import kotlin.time.Duration

/** Transfer protocol by which a decode engine fetches a KV cache from the prefill engine that holds it. */
interface KvNetwork {
    /** Starts the transfer of [handle]; returns its time on the sender's link, or null if it was already freed. */
    suspend fun begin(handle: KvHandle): Duration?

    /** Ends the transfer of [handle] and frees the sender's memory; returns false if it was already freed. */
    suspend fun end(handle: KvHandle): Boolean
}
