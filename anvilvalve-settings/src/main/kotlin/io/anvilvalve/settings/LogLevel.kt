package io.anvilvalve.settings

/** Minimum level of log lines that are written. */
enum class LogLevel {
    DEBUG,
    INFO,
    WARN,
    ERROR,
}
