package io.anvilvalve.host

import io.anvilvalve.core.HeadRules
import io.anvilvalve.core.HostStatus
import java.util.concurrent.CompletableFuture

/** State for HTTP handlers and metrics. The event loop writes it, except [draining]; all threads read it. */
internal class HostState(initial: HostStatus) {
    @Volatile
    var status: HostStatus = initial

    /** Rules by which a header is checked before the body is read; null before the first release. */
    @Volatile
    var headRules: HeadRules? = null

    @Volatile
    var ready: Boolean = false

    /**
     * Set when a drain or a stop begins, so that the host reports not ready even before the reducer has processed the
     * drain.
     */
    @Volatile
    var draining: Boolean = false

    /** Completed when the process may exit; the value is false if the peers removed the host. */
    val exit = CompletableFuture<Boolean>()

    val acceptsTraffic: Boolean get() = ready && !draining
}
