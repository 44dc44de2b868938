package io.anvilvalve.standins

/** Why an attempt was terminated before it finished. */
internal enum class Termination {
    CANCELLED,
    KILLED,
}
