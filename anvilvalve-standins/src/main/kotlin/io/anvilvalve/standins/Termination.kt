package io.anvilvalve.standins

/** Why an attempt ended before its work was done. */
internal enum class Termination {
    CANCELLED,
    KILLED,
}
