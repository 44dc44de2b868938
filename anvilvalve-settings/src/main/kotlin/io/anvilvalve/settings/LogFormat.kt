package io.anvilvalve.settings

/** Form of log lines. */
enum class LogFormat {
    PLAIN,
    JSON,
}
