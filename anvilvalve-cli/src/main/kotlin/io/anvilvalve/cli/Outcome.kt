package io.anvilvalve.cli

import io.anvilvalve.api.result.ResultCode
import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive

/**
 * Result of a command.
 *
 * @property code result code, or null for success.
 * @property lines output for people.
 * @property fields output for scripts, besides `result` and `message`.
 */
internal data class Outcome(
    val exit: ExitCode,
    val code: ResultCode? = null,
    val lines: List<String> = emptyList(),
    val fields: Map<String, JsonElement> = emptyMap(),
) {
    /** Renders the output; a code stands in the first line. */
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
