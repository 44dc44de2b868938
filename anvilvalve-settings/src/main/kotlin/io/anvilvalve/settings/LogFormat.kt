package io.anvilvalve.settings

/** Format of log lines. */
enum class LogFormat {
    PLAIN,
    JSON,
}
