package io.anvilvalve.rules.release

/** Fault of a release note; [change] is the position of the faulty change, counted from 1, or 0 for the note itself. */
data class NoteFault(val change: Int, val message: String)
