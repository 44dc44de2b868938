package io.anvilvalve.standins

/** Usage of an engine at one moment. */
internal data class EngineUsage(val running: Int = 0, val waiting: Int = 0, val pieces: Int = 0)
