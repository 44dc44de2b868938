package io.anvilvalve.net

import okhttp3.Headers
import okio.BufferedSource
import java.io.IOException

/**
 * Answer of a server; its body is read from the connection of the call.
 *
 * @property endsWithConnection whether the answer has neither a length nor chunks, so that it ends with its connection.
 */
class ServerAnswer(val status: Int, val head: Headers, val body: BufferedSource, val endsWithConnection: Boolean) {
    /**
     * Reads the whole body.
     *
     * @param reserve makes room for bytes that have arrived; returns false if there is none.
     * @throws IOException when the body has more than [limit] bytes, has no room or ends early; at most [limit] bytes
     * and one segment are held.
     */
    fun bytesAtMost(limit: Long, reserve: (Int) -> Boolean = { true }): ByteArray = body.bytesAtMost(limit, reserve)
}
