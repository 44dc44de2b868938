package io.anvilvalve.cli

/** Exit codes of `anvilvalvectl`; scripts depend on the numbers. */
enum class ExitCode(val number: Int) {
    /** Done. */
    OK(0),

    /** The input has faults, or the note was rejected; nothing changed. */
    REJECTED(1),

    /** The command line or the settings are wrong. */
    USAGE(2),

    /** Another note was accepted first; nothing changed. */
    OUTDATED(3),

    /** The log cannot be read or did not answer; the message tells whether something may have changed. */
    LOG_UNAVAILABLE(4),

    /** Some hosts did not answer, or not in time. */
    HOSTS_MISSING(5),
}
