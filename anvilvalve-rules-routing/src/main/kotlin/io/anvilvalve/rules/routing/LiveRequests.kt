package io.anvilvalve.rules.routing

import io.anvilvalve.api.id.RequestId

/** The admitted requests of this host that have not ended. */
internal class LiveRequests {
    private val byId = LinkedHashMap<RequestId, LiveRequest>()

    val size: Int get() = byId.size

    /** The requests in the order of their arrival; later changes do not affect the list. */
    val all: List<LiveRequest> get() = byId.values.toList()

    operator fun get(id: RequestId): LiveRequest? = byId[id]

    /** The request [id] if its current call is [attempt] and it is in [phase]. */
    fun find(id: RequestId, attempt: Int, phase: LiveRequest.Phase): LiveRequest? =
        byId[id]?.takeIf { it.attempt == attempt && it.phase == phase }

    fun add(request: LiveRequest) {
        byId[request.id] = request
    }

    fun remove(request: LiveRequest) {
        byId.remove(request.id)
    }
}
