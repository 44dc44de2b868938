package io.anvilvalve.host

import io.anvilvalve.api.result.Executed
import io.anvilvalve.api.result.ResultCode
import jakarta.servlet.http.HttpServletResponse
import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.put
import kotlinx.serialization.json.putJsonObject

private const val MILLIS_PER_SECOND = 1_000
private const val TOO_MANY_REQUESTS = 429
private const val UNAVAILABLE = 503
private const val WRITE_BYTES = 32 * 1024

/** JSON error body of the callers' API; [detail] is appended to the message. */
internal fun ResultCode.errorBody(detail: String? = null, executed: Executed = this.executed): String =
    buildJsonObject {
        putJsonObject("error") {
            put("code", code)
            put("message", if (detail == null) meaning else "$meaning $detail")
            put("executed", executed.name.lowercase())
        }
    }.toString()

/** Sends an error response; nothing else may have been sent before. */
internal fun HttpServletResponse.sendError(
    code: ResultCode,
    detail: String? = null,
    retryAfterMillis: Long = 0,
    status: Int = code.httpStatus,
    executed: Executed = code.executed,
) {
    this.status = status
    if (status == TOO_MANY_REQUESTS || status == UNAVAILABLE) {
        val seconds = (retryAfterMillis + MILLIS_PER_SECOND - 1) / MILLIS_PER_SECOND
        setHeader("Retry-After", maxOf(1, seconds).toString())
    }
    sendBody("application/json", code.errorBody(detail, executed).toByteArray())
}

internal fun HttpServletResponse.sendBody(contentType: String, bytes: ByteArray) {
    this.contentType = contentType
    setContentLength(bytes.size)
    // The runtime keeps a native buffer of the size of the largest write for each thread.
    for (start in bytes.indices step WRITE_BYTES) {
        outputStream.write(bytes, start, minOf(WRITE_BYTES, bytes.size - start))
    }
    outputStream.flush()
}
