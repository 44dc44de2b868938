package io.anvilvalve.host

import io.anvilvalve.api.port.TokenChunk
import io.anvilvalve.api.result.Executed
import io.anvilvalve.api.result.ResultCode
import jakarta.servlet.http.HttpServletResponse
import kotlinx.serialization.json.JsonPrimitive

/** Builds the JSON texts of one answer in the format of the OpenAI endpoint that the caller used. */
internal class AnswerJson(private val chat: Boolean, id: String, model: String, created: Long, val promptTokens: Int) {
    private val objectType = if (chat) "chat.completion" else "text_completion"
    private val idPrefix = if (chat) "chatcmpl-" else "cmpl-"
    private val chunkObjectType = if (chat) "chat.completion.chunk" else objectType

    // Each answer text begins with head, the object type and tail.
    private val tail = ""","created":$created,"model":${model.quoted()},"""
    private val head = """{"id":${(idPrefix + id).quoted()},"object":"""
    private val chunkHead = "data: $head\"$chunkObjectType\"$tail"

    fun chunkEvent(chunk: TokenChunk, first: Boolean): String {
        val text = chunk.text.quoted()
        val role = if (first) """"role":"assistant",""" else ""
        val content = if (chat) """"delta":{$role"content":$text}""" else """"text":$text"""
        return """$chunkHead"choices":[${choice(content, chunk.finishReason)}]}$EVENT_END"""
    }

    fun usageEvent(tokens: Int): String = """$chunkHead"choices":[],${usage(tokens)}}$EVENT_END"""

    fun completeBody(text: String, finishReason: String?, tokens: Int): String {
        val quoted = text.quoted()
        val content = if (chat) """"message":{"role":"assistant","content":$quoted}""" else """"text":$quoted"""
        return """$head"$objectType"$tail"choices":[${choice(content, finishReason)}],${usage(tokens)}}"""
    }

    private fun choice(content: String, finishReason: String?): String =
        """{"index":0,$content,"finish_reason":${finishReason.quoted()}}"""

    private fun usage(tokens: Int): String =
        """"usage":{"prompt_tokens":$promptTokens,"completion_tokens":$tokens,"total_tokens":${promptTokens + tokens}}"""

    private fun String?.quoted(): String = if (this == null) "null" else JsonPrimitive(this).toString()

    private companion object {
        const val EVENT_END = "\n\n"
    }
}

/** Writes the tokens of one answer to the caller. Used by the request thread only. */
internal interface Answer {
    fun writeToken(chunk: TokenChunk)

    /** Ends the answer after its last token. */
    fun finish()

    /** Ends the answer with an error; [executed] states whether the request may have been executed. */
    fun fail(code: ResultCode, executed: Executed, retryAfterMillis: Long = 0)
}

/** Writes each token as a server-sent event. The first token or error determines the HTTP status. */
internal class StreamedAnswer(
    private val response: HttpServletResponse,
    private val json: AnswerJson,
    private val includeUsage: Boolean,
) : Answer {
    private var tokens = 0

    override fun writeToken(chunk: TokenChunk) {
        if (tokens == 0) setHeaders()
        write(json.chunkEvent(chunk, first = tokens == 0))
        tokens++
    }

    override fun finish() {
        if (tokens == 0) setHeaders()
        if (includeUsage) write(json.usageEvent(tokens))
        write("data: [DONE]\n\n")
    }

    override fun fail(code: ResultCode, executed: Executed, retryAfterMillis: Long) {
        if (tokens == 0) {
            response.sendError(code, retryAfterMillis = retryAfterMillis, executed = executed)
        } else {
            write("data: ${code.errorBody(executed = executed)}\n\n")
        }
    }

    private fun setHeaders() {
        response.status = HttpServletResponse.SC_OK
        response.contentType = "text/event-stream"
        response.setHeader("Cache-Control", "no-cache")
    }

    private fun write(event: String) {
        response.outputStream.write(event.toByteArray())
        response.outputStream.flush()
    }
}

/** Collects the tokens and sends them as one JSON body. */
internal class CollectedAnswer(private val response: HttpServletResponse, private val json: AnswerJson) : Answer {
    private val text = StringBuilder()
    private var tokens = 0
    private var finishReason: String? = null

    override fun writeToken(chunk: TokenChunk) {
        text.append(chunk.text)
        tokens++
        finishReason = chunk.finishReason
    }

    override fun finish() =
        response.sendBody("application/json", json.completeBody(text.toString(), finishReason, tokens).toByteArray())

    override fun fail(code: ResultCode, executed: Executed, retryAfterMillis: Long) =
        response.sendError(code, retryAfterMillis = retryAfterMillis, executed = executed)
}
