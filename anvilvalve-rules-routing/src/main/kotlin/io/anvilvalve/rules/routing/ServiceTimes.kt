package io.anvilvalve.rules.routing

import kotlin.time.Duration

/** Expected times of a request at the backend servers of its service, from the call on. */
internal interface ServiceTimes {
    /** Expected time to the first event of a stream, or to the complete answer of a call. */
    fun start(request: QueuedRequest): Duration

    /** Expected time to the complete answer. */
    fun answer(request: QueuedRequest): Duration
}
