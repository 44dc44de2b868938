package io.anvilvalve.standins

/** IP number and port of an engine. */
data class EngineAddress(val host: String, val port: Int)
