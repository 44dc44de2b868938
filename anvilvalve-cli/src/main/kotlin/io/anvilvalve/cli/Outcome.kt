package io.anvilvalve.cli

import io.anvilvalve.api.result.ResultCode
import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive

/**
 * Result of a command.
 *
 * @property code result code; null for success and for failures without a code of their own.
 * @property lines text output, and the `message` field of JSON output.
 * @property fields further fields of JSON output besides `result` and `message`.
 */
internal data class Outcome(
    val exit: ExitCode,
    val code: ResultCode? = null,
    val lines: List<String> = emptyList(),
    val fields: Map<String, JsonElement> = emptyMap(),
) {
    /** Renders the outcome as JSON or as text; text starts with the result code if there is one. */
    fun render(json: Boolean): String = if (json) {
        val head = mapOf<String, JsonElement>(
            "result" to JsonPrimitive(code?.code ?: if (exit == ExitCode.OK) "ok" else exit.name.lowercase()),
            "message" to JsonPrimitive(lines.joinToString("\n")),
        )
        CliJson.format.encodeToString(JsonElement.serializer(), JsonObject(head + fields))
    } else {
        (listOfNotNull(code?.let { "${it.code} ${it.meaning}" }) + lines).joinToString("\n")
    }

    companion object {
        fun ok(lines: List<String>, fields: Map<String, JsonElement> = emptyMap()): Outcome =
            Outcome(ExitCode.OK, code = null, lines, fields)

        fun logUnavailable(reason: String): Outcome =
            Outcome(ExitCode.LOG_UNAVAILABLE, ResultCode.LOG_UNAVAILABLE, listOf(reason))
    }
}
