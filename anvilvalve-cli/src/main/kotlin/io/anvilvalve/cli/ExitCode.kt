package io.anvilvalve.cli

/** Exit codes of `anvilvalvectl`; scripts depend on the numbers. */
enum class ExitCode(val number: Int) {
    /** The command succeeded. */
    OK(0),

    /** The input is invalid or the note was rejected; nothing changed. */
    REJECTED(1),

    /** The command line or the settings are invalid. */
    USAGE(2),

    /** Another note was accepted first, so the expected release is outdated; nothing changed. */
    OUTDATED(3),

    /** The log cannot be read or did not respond; the message says whether a change may still take effect. */
    LOG_UNAVAILABLE(4),

    /** Some hosts are unknown, failed the call or did not reach the expected state in time. */
    HOSTS_MISSING(5),
}
