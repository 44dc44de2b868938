package io.anvilvalve.host

import io.anvilvalve.api.result.LogEvent
import io.anvilvalve.settings.LogFormat
import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.put
import org.apache.logging.log4j.Level
import org.apache.logging.log4j.LogManager
import java.time.Clock

/** Writes numbered events as plain or JSON lines. */
internal class EventLog(private val host: String, private val format: LogFormat, private val clock: Clock) {
    private val logger = LogManager.getLogger(LOGGER_NAME)

    fun write(event: LogEvent, fields: Map<String, String> = emptyMap()) {
        val level = levels[event] ?: Level.INFO
        if (!logger.isEnabled(level)) return
        logger.log(level, if (format == LogFormat.JSON) json(event, level, fields) else plain(event, level, fields))
    }

    fun error(e: Throwable) = write(LogEvent.UNEXPECTED_ERROR, fields(e))

    private fun plain(event: LogEvent, level: Level, fields: Map<String, String>): String {
        val shown = (mapOf("host" to host) + fields).entries.joinToString(" ") { (k, v) -> "$k=${v.oneLine()}" }
        return "${clock.instant()} ${level.name()} ${event.code} ${event.name} $shown"
    }

    private fun json(event: LogEvent, level: Level, fields: Map<String, String>): String = buildJsonObject {
        put("time", clock.instant().toString())
        put("level", level.name())
        put("code", event.code)
        put("event", event.name)
        put("host", host)
        fields.forEach { (k, v) -> put(k, v) }
    }.toString()

    /** Escapes line breaks, because they would let a caller forge log lines. */
    private fun String.oneLine(): String = replace("\n", "\\n").replace("\r", "\\r")

    companion object {
        /** Name of the logger for numbered events; its appender writes only the message. */
        const val LOGGER_NAME = "io.anvilvalve.events"

        /** Fields that describe [e]. */
        fun fields(e: Throwable): Map<String, String> = mapOf("error" to e.stackTraceToString().take(MAX_TRACE))

        /** Maximum length of a logged stack trace in characters. */
        private const val MAX_TRACE = 4_000

        private val levels = mapOf(
            LogEvent.SETTINGS_INVALID to Level.ERROR,
            LogEvent.UNEXPECTED_ERROR to Level.ERROR,
            LogEvent.EVENT_LOOP_ENDED to Level.ERROR,
            LogEvent.CLIENT_LIMIT_REACHED to Level.WARN,
            LogEvent.DRAIN_DEADLINE_PASSED to Level.WARN,
            LogEvent.REQUEST_FAILED to Level.WARN,
            LogEvent.CANCEL_UNCONFIRMED to Level.WARN,
            LogEvent.LOG_UNREADABLE to Level.WARN,
            LogEvent.RECORD_UNREADABLE to Level.WARN,
            LogEvent.RELEASE_REJECTED to Level.WARN,
            LogEvent.SNAPSHOT_IGNORED to Level.WARN,
            LogEvent.CURRENT_LOST to Level.WARN,
            LogEvent.PEER_REFUSED to Level.WARN,
            LogEvent.BACKEND_UNHEALTHY to Level.WARN,
            LogEvent.ORDER_REFUSED to Level.WARN,
            LogEvent.STORE_LOST to Level.WARN,
            LogEvent.CONFIGURATION_UNREADABLE to Level.WARN,
            LogEvent.ENTRY_UNREADABLE to Level.WARN,
            LogEvent.PEER_LOST to Level.WARN,
        )
    }
}
