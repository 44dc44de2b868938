package io.anvilvalve.host

import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.put
import org.apache.logging.log4j.core.LogEvent
import org.apache.logging.log4j.core.layout.AbstractStringLayout
import java.time.Instant
import java.time.temporal.ChronoUnit

/** Writes each log event as one line. */
internal sealed class LineLayout : AbstractStringLayout(Charsets.UTF_8) {
    override fun toSerializable(event: LogEvent): String = line(event) + System.lineSeparator()

    protected abstract fun line(event: LogEvent): String
}

/** Writes the message of a numbered event unchanged. */
internal class EventLineLayout : LineLayout() {
    override fun line(event: LogEvent): String = event.message.formattedMessage
}

/** Writes a message of a library as plain text, or as a JSON object if [json] is set. */
internal class LibraryLineLayout(private val json: Boolean) : LineLayout() {
    override fun line(event: LogEvent): String = if (json) jsonLine(event) else plainLine(event)

    private fun plainLine(event: LogEvent): String {
        val error = event.thrown?.let { System.lineSeparator() + it.stackTraceToString() }.orEmpty()
        return "${time(event)} ${event.level} ${event.loggerName} ${event.message.formattedMessage}$error"
    }

    private fun jsonLine(event: LogEvent): String = buildJsonObject {
        put("time", time(event).toString())
        put("level", event.level.name())
        put("logger", event.loggerName)
        put("message", event.message.formattedMessage)
        put("error", event.thrown?.toString().orEmpty())
    }.toString()

    private fun time(event: LogEvent): Instant = Instant.ofEpochMilli(event.timeMillis).truncatedTo(ChronoUnit.MILLIS)
}
