package io.anvilvalve.settings

/** Least level of log lines that are written. */
enum class LogLevel {
    DEBUG,
    INFO,
    WARN,
    ERROR,
}
