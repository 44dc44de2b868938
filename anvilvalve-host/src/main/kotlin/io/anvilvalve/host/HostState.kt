package io.anvilvalve.host

import io.anvilvalve.core.HostStatus
import java.util.concurrent.CompletableFuture

/** State that the HTTP handlers show; written by the event loop, read by all threads. */
internal class HostState(initial: HostStatus) {
    @Volatile
    var status: HostStatus = initial

    @Volatile
    var ready: Boolean = false

    /** Set when a drain begins, so that the host is not ready before the reducer has processed the drain. */
    @Volatile
    var draining: Boolean = false

    /** Completed when the process may exit; the value states whether the stop was clean. */
    val exit = CompletableFuture<Boolean>()

    val acceptsTraffic: Boolean get() = ready && !draining
}
