package io.anvilvalve.host

import arrow.core.Either
import arrow.core.raise.Raise
import arrow.core.raise.either
import arrow.core.raise.ensure
import arrow.core.raise.ensureNotNull
import io.anvilvalve.api.result.ResultCode
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonArray
import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.JsonNull
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive
import kotlinx.serialization.json.booleanOrNull
import kotlinx.serialization.json.intOrNull

/** A validated completion request. Fields of the OpenAI API that do not affect routing are accepted and ignored. */
internal class CompletionRequest(
    val model: String,
    val prompt: String,
    val maxTokens: Int,
    val stream: Boolean,
    val includeUsage: Boolean,
    val adapter: String?,
) {
    companion object {
        const val MAX_MAX_TOKENS = 32_768
        private const val MAX_NESTING_DEPTH = 64

        private val json = Json {
            ignoreUnknownKeys = true
            explicitNulls = false
        }

        /** Parses and validates the body of `/v1/completions`. */
        fun ofCompletion(text: String, defaultMaxTokens: Int): Either<Rejection, CompletionRequest> = either {
            val body = parse(text)
            build(body, plainPrompt(body.prompt), defaultMaxTokens)
        }

        /** Parses and validates the body of `/v1/chat/completions`. */
        fun ofChat(text: String, defaultMaxTokens: Int): Either<Rejection, CompletionRequest> = either {
            val body = parse(text)
            build(body, chatPrompt(body.messages), defaultMaxTokens)
        }

        private fun Raise<Rejection>.parse(text: String): Body {
            ensure(isNestedWithin(text, MAX_NESTING_DEPTH)) { malformed("The body is nested too deeply.") }
            return Either.catch { json.decodeFromString(Body.serializer(), text) }
                .mapLeft { malformed("The body is not the expected JSON.") }
                .bind()
        }

        private fun Raise<Rejection>.build(body: Body, prompt: String, defaultMaxTokens: Int): CompletionRequest {
            val model = ensureNotNull(body.model?.text()?.takeIf { it.isNotEmpty() }) {
                malformed("model must be a non-empty string.")
            }
            ensure(prompt.isNotEmpty()) { malformed("The prompt is empty.") }
            ensure(body.n.isAbsent() || body.n.int() == 1) { malformed("n must be 1.") }
            return CompletionRequest(
                model,
                prompt,
                maxTokens(body, defaultMaxTokens),
                flag(body.stream, "stream"),
                flag(body.streamOptions?.get("include_usage"), "include_usage"),
                adapter(body.adapter),
            )
        }

        private fun Raise<Rejection>.maxTokens(body: Body, default: Int): Int {
            val given = listOf(body.maxTokens, body.maxCompletionTokens).filterNot { it.isAbsent() }
            if (given.isEmpty()) return default
            val values = given.map { it.int() }.distinct()
            return ensureNotNull(values.singleOrNull()?.takeIf { it in 1..MAX_MAX_TOKENS }) {
                Rejection(ResultCode.MAX_TOKENS_OUT_OF_RANGE, "It must be a whole number from 1 to $MAX_MAX_TOKENS.")
            }
        }

        private fun Raise<Rejection>.adapter(field: JsonElement?): String? = if (field.isAbsent()) {
            null
        } else {
            ensureNotNull(field.text()?.takeIf { it.isNotEmpty() }) { malformed("adapter must be a string.") }
        }

        private fun Raise<Rejection>.flag(field: JsonElement?, name: String): Boolean = when {
            field.isAbsent() -> false

            else -> ensureNotNull((field as? JsonPrimitive)?.takeIf { !it.isString }?.booleanOrNull) {
                malformed("$name must be true or false.")
            }
        }

        private fun Raise<Rejection>.plainPrompt(field: JsonElement?): String {
            val single = (field as? JsonArray)?.singleOrNull() ?: field
            return ensureNotNull(single.text()) { malformed("prompt must be a string or a list of one string.") }
        }

        private fun Raise<Rejection>.chatPrompt(messages: List<Message>?): String {
            ensure(!messages.isNullOrEmpty()) { malformed("messages must be a non-empty list.") }
            return messages.joinToString(separator = "") { "${it.role}: ${messageText(it.content)}\n" } + "assistant: "
        }

        private fun Raise<Rejection>.messageText(content: JsonElement?): String = when (content) {
            null, JsonNull -> ""
            is JsonArray -> content.joinToString(separator = "") { partText(it) }
            else -> ensureNotNull(content.text()) { malformed("content must be a string or a list of text parts.") }
        }

        private fun Raise<Rejection>.partText(part: JsonElement): String {
            val fields = part as? JsonObject
            ensure(fields?.get("type").text() == "text") { malformed("Only text parts are supported.") }
            return ensureNotNull(fields?.get("text").text()) { malformed("A text part has no text.") }
        }

        private fun malformed(detail: String) = Rejection(ResultCode.MALFORMED_REQUEST, detail)

        private fun JsonElement?.isAbsent() = this == null || this is JsonNull

        private fun JsonElement?.text(): String? = (this as? JsonPrimitive)?.takeIf { it.isString }?.content

        private fun JsonElement?.int(): Int? = (this as? JsonPrimitive)?.takeIf { !it.isString }?.intOrNull
    }

    @Serializable
    private class Message(val role: String, val content: JsonElement? = null)

    @Serializable
    private class Body(
        val model: JsonElement? = null,
        val prompt: JsonElement? = null,
        val messages: List<Message>? = null,
        @SerialName("max_tokens") val maxTokens: JsonElement? = null,
        @SerialName("max_completion_tokens") val maxCompletionTokens: JsonElement? = null,
        val stream: JsonElement? = null,
        @SerialName("stream_options") val streamOptions: JsonObject? = null,
        val n: JsonElement? = null,
        val adapter: JsonElement? = null,
    )
}
