package io.anvilvalve.standins

/** Running and waiting requests of an engine and its KV pieces in use at one time. */
internal data class EngineUsage(val running: Int = 0, val waiting: Int = 0, val pieces: Int = 0)
