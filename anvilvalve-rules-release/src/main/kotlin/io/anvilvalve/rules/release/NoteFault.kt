package io.anvilvalve.rules.release

/** One fault of a release note: the position of the change, from 1, and what is wrong; 0 is the note itself. */
data class NoteFault(val change: Int, val message: String)
