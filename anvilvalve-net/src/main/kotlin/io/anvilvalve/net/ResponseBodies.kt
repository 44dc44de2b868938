package io.anvilvalve.net

import okhttp3.Response
import okhttp3.ResponseBody
import java.io.IOException

/**
 * Reads the whole body.
 *
 * @throws IOException when the body has more than [limit] bytes or ends early; at most [limit] bytes and one segment are
 * held.
 */
fun ResponseBody.bytesAtMost(limit: Long): ByteArray {
    val source = source()
    if (source.request(limit + 1)) throw IOException("the body exceeds $limit bytes")
    return source.readByteArray()
}

/** Whether the answer has neither a length nor chunks, so that it ends with its connection. */
val Response.endsWithConnection: Boolean
    get() = body.contentLength() < 0 && !header("Transfer-Encoding").equals("chunked", ignoreCase = true)
