package io.anvilvalve.net

import okio.BufferedSource
import java.io.IOException

/**
 * Reads the whole body.
 *
 * @param reserve makes room for bytes that have arrived; returns false if there is none.
 * @throws IOException when the body has more than [limit] bytes, has no room or ends early; at most [limit] bytes and one
 * segment are held.
 */
internal fun BufferedSource.bytesAtMost(limit: Long, reserve: (Int) -> Boolean = { true }): ByteArray {
    var reserved = 0L
    while (request(reserved + 1)) {
        if (buffer.size > limit) throw IOException("the body exceeds $limit bytes")
        if (!reserve((buffer.size - reserved).toInt())) throw IOException("no room to hold the body")
        reserved = buffer.size
    }
    return readByteArray()
}
