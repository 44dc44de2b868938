package io.anvilvalve.rules.routing

import io.anvilvalve.api.log.Member
import kotlin.time.Duration

/** An open question to the coordinator [to] where to place a request, with the [number] that identifies it there. */
internal class Delegation(val to: Member, val number: Long, val askedAt: Duration) {
    /** Whether the coordinator has answered that the request waits. */
    var isQueued = false
}
