package io.anvilvalve.host

import io.anvilvalve.core.HostStatus
import java.util.concurrent.CompletableFuture

/** What the listeners show of the rules' state; written by the loop, read by all threads. */
internal class HostState(initial: HostStatus) {
    @Volatile
    var status: HostStatus = initial

    @Volatile
    var ready: Boolean = false

    /** Set when a planned stop begins, so that readiness goes off before the rules have answered. */
    @Volatile
    var draining: Boolean = false

    /** Completed when the process may exit; the value tells whether the stop was clean. */
    val exit = CompletableFuture<Boolean>()

    val acceptsTraffic: Boolean get() = ready && !draining
}
