package io.anvilvalve.net

import okhttp3.ResponseBody
import okio.BufferedSource
import java.io.IOException

/**
 * Reads the whole body.
 *
 * @throws IOException when the body has more than [limit] bytes or ends early; at most [limit] bytes and one segment are
 * held.
 */
fun ResponseBody.bytesAtMost(limit: Long): ByteArray = source().bytesAtMost(limit)

internal fun BufferedSource.bytesAtMost(limit: Long): ByteArray {
    if (request(limit + 1)) throw IOException("the body exceeds $limit bytes")
    return readByteArray()
}
