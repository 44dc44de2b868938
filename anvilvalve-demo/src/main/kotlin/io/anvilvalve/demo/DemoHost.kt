package io.anvilvalve.demo

import io.anvilvalve.host.EntryHost

/** An entry host with the addresses on which it serves callers and operators. */
internal class DemoHost(val name: String, val host: EntryHost) {
    val callerAddress: String get() = "$LOOPBACK:${host.callerPort}"
    val operatorAddress: String get() = "$LOOPBACK:${host.operatorPort}"

    companion object {
        const val LOOPBACK = "127.0.0.1"
    }
}
