package io.anvilvalve.cli

import io.anvilvalve.api.release.Release
import io.anvilvalve.api.release.ReleaseNote
import io.anvilvalve.rules.release.NoteFault
import io.anvilvalve.rules.release.applying
import kotlinx.serialization.json.JsonArray
import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive
import kotlinx.serialization.json.encodeToJsonElement
import kotlinx.serialization.json.jsonObject

internal fun faultsJson(faults: List<NoteFault>): JsonElement = JsonArray(
    faults.map {
        JsonObject(mapOf("change" to JsonPrimitive(it.change), "message" to JsonPrimitive(it.message)))
    },
)

internal fun decisionJson(decision: Decision): JsonElement = JsonObject(
    mapOf(
        "offset" to JsonPrimitive(decision.offset.value),
        "note" to JsonPrimitive(decision.note.id.value),
        "author" to JsonPrimitive(decision.note.author),
        "changes" to JsonPrimitive(decision.note.changes.size),
        "accepted" to JsonPrimitive(decision.isAccepted),
        "release" to JsonPrimitive(decision.release.value),
        "faults" to faultsJson(decision.faults),
    ),
)

/** Lists the entries that [note] adds (`+`), removes (`-`) or changes (`~`, with the changed fields) in [current]. */
internal fun differences(note: ReleaseNote, current: Release, after: Release = current.applying(note)): List<String> {
    val old = CliJson.format.encodeToJsonElement(current).jsonObject
    val new = CliJson.format.encodeToJsonElement(after).jsonObject
    return (new.keys - "number").flatMap { kind ->
        val before = old.getValue(kind).jsonObject
        val now = new.getValue(kind).jsonObject
        (before.keys + now.keys).sorted().mapNotNull { differenceOf(kind, it, before[it], now[it]) }
    }
}

private fun differenceOf(kind: String, id: String, before: JsonElement?, after: JsonElement?): String? {
    val name = if (kind == "keys") id.take(SHOWN_HASH_DIGITS) else id
    return when {
        before == after -> null
        before == null -> "+ $kind $name"
        after == null -> "- $kind $name"
        else -> "~ $kind $name: " + changedFields(before.jsonObject, after.jsonObject).joinToString(", ")
    }
}

private fun changedFields(before: JsonObject, after: JsonObject): List<String> =
    (before.keys + after.keys).filter { before[it] != after[it] }
        .map { "$it ${compact(before[it])} -> ${compact(after[it])}" }

private fun compact(value: JsonElement?): String = value?.toString()?.replace(Regex("\\s+"), " ") ?: "none"

private const val SHOWN_HASH_DIGITS = 8
