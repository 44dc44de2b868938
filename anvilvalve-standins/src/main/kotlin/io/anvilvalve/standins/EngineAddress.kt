package io.anvilvalve.standins

/** IP address and TCP port of an engine. */
data class EngineAddress(val host: String, val port: Int)
