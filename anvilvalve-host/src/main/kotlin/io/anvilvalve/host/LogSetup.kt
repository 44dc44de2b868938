package io.anvilvalve.host

import io.anvilvalve.settings.HostSettings
import io.anvilvalve.settings.LogFormat
import org.apache.logging.log4j.Level
import org.apache.logging.log4j.core.appender.ConsoleAppender
import org.apache.logging.log4j.core.config.Configurator
import org.apache.logging.log4j.core.config.builder.api.ConfigurationBuilder
import org.apache.logging.log4j.core.config.builder.api.ConfigurationBuilderFactory
import org.apache.logging.log4j.core.config.builder.impl.BuiltConfiguration

/** Configures Log4j: numbered events are written unchanged, library messages from level WARN in the same format. */
internal object LogSetup {
    private const val EVENTS_APPENDER = "events"
    private const val ASYNC_EVENTS_APPENDER = "events-queue"

    /** Holds about 10 s of lines at 1,000 requests per second. */
    private const val EVENT_BUFFER_LINES = 20_000
    private const val LIBRARIES_APPENDER = "libraries"
    private const val PLAIN_PATTERN = "%d{yyyy-MM-dd'T'HH:mm:ss.SSS}{UTC}Z %p %c %m%n"
    private const val JSON_PATTERN = """{"time":"%d{yyyy-MM-dd'T'HH:mm:ss.SSS}{UTC}Z","level":"%p","logger":"%c",""" +
        """"message":"%enc{%m}{JSON}","error":"%enc{%xEx{short}}{JSON}"}%n"""

    fun apply(output: HostSettings.Output) {
        val builder = ConfigurationBuilderFactory.newConfigurationBuilder()
        // Log4j's own shutdown hook would stop logging before a drain has ended.
        builder.setShutdownHook("disable")
        builder.setStatusLevel(Level.ERROR)
        builder.console(EVENTS_APPENDER, "%m%n")
        // A stalled reader of standard output must not block requests, so lines beyond the buffer are dropped.
        builder.add(
            builder.newAppender(ASYNC_EVENTS_APPENDER, "Async")
                .addAttribute("blocking", false)
                .addAttribute("bufferSize", EVENT_BUFFER_LINES)
                .addComponent(builder.newAppenderRef(EVENTS_APPENDER)),
        )
        builder.console(LIBRARIES_APPENDER, if (output.format == LogFormat.JSON) JSON_PATTERN else PLAIN_PATTERN)
        builder.add(
            builder.newLogger(EventLog.LOGGER_NAME, Level.toLevel(output.level.name))
                .add(builder.newAppenderRef(ASYNC_EVENTS_APPENDER))
                .addAttribute("additivity", false),
        )
        builder.add(builder.newRootLogger(Level.WARN).add(builder.newAppenderRef(LIBRARIES_APPENDER)))
        Configurator.reconfigure(builder.build())
    }

    private fun ConfigurationBuilder<BuiltConfiguration>.console(name: String, pattern: String) {
        add(
            newAppender(name, "Console")
                .addAttribute("target", ConsoleAppender.Target.SYSTEM_OUT)
                .add(newLayout("PatternLayout").addAttribute("pattern", pattern)),
        )
    }
}
