package io.anvilvalve.bench.router

import kotlinx.serialization.json.JsonPrimitive
import kotlinx.serialization.json.buildJsonObject

/** One line of output: a measurement with its named values. */
internal class RouterMeasurement(private val name: String, private val values: Map<String, Double>) {
    fun json(): String = buildJsonObject {
        put("measure", JsonPrimitive(name))
        values.forEach { (key, value) -> put(key, JsonPrimitive(value.rounded())) }
    }.toString()

    fun text(): String = "$name: " + values.entries.joinToString { (key, value) -> "$key ${value.rounded()}" }

    private fun Double.rounded(): Double = Math.round(this * PRECISION) / PRECISION

    private companion object {
        const val PRECISION = 10_000.0
    }
}
