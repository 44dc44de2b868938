package io.anvilvalve.host

import io.anvilvalve.api.result.ResultCode
import org.eclipse.jetty.http.HttpHeader
import org.eclipse.jetty.io.Content
import org.eclipse.jetty.server.Request
import org.eclipse.jetty.server.Response
import org.eclipse.jetty.server.handler.ErrorHandler
import org.eclipse.jetty.util.Callback

/** Sends the JSON error body for requests that Jetty itself refuses, such as those with contradictory body lengths. */
internal class JsonErrorHandler : ErrorHandler() {
    override fun generateResponse(
        request: Request,
        response: Response,
        code: Int,
        message: String?,
        cause: Throwable?,
        callback: Callback,
    ) {
        val result = when {
            code == REQUEST_TIMEOUT -> ResultCode.REQUEST_TIMEOUT
            code in CLIENT_ERRORS -> ResultCode.MALFORMED_REQUEST
            else -> ResultCode.INTERNAL_ERROR
        }
        response.headers.put(HttpHeader.CONTENT_TYPE, "application/json")
        Content.Sink.write(response, true, result.errorBody(), callback)
    }

    private companion object {
        const val REQUEST_TIMEOUT = 408
        val CLIENT_ERRORS = 400..499
    }
}
