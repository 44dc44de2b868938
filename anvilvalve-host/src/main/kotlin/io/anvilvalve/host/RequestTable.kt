package io.anvilvalve.host

import io.anvilvalve.api.id.Incarnation
import io.anvilvalve.api.id.RequestId
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.AtomicInteger
import java.util.concurrent.atomic.AtomicLong

/** Open requests by ID. IDs start with the incarnation, so they are unique across hosts and restarts. */
internal class RequestTable(private val incarnation: Incarnation) {
    private val requests = ConcurrentHashMap<RequestId, CallerRequest>()
    private val size = AtomicInteger()
    private val lastNumber = AtomicLong()

    val count: Int get() = size.get()

    operator fun get(id: RequestId): CallerRequest? = requests[id]

    /** Registers a new request, or returns null if [limit] requests are open. */
    fun open(limit: Int): CallerRequest? {
        if (size.incrementAndGet() > limit) {
            size.decrementAndGet()
            return null
        }
        val request = CallerRequest(RequestId("${incarnation.value}-${lastNumber.incrementAndGet()}"))
        requests[request.id] = request
        return request
    }

    fun close(request: CallerRequest) {
        requests.remove(request.id)
        size.decrementAndGet()
    }
}
