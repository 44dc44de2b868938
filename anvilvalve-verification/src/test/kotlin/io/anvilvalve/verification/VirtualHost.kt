package io.anvilvalve.verification

import io.anvilvalve.api.log.Member
import io.anvilvalve.core.HostConfig
import io.anvilvalve.core.HostEvent
import io.anvilvalve.core.HostReducer
import io.anvilvalve.core.HostStatus
import kotlin.time.Duration

/** Simulates one daemon process: its reducer, its own clock, and whether it is alive or paused. */
internal class VirtualHost(val member: Member, seed: Long, private val startedAt: Duration, private val rate: Double) {
    private val reducer = HostReducer(HostConfig(self = member, seed = seed))
    private val pendingEvents = ArrayDeque<HostEvent>()

    var alive = true
    var paused = false
    var status: HostStatus? = null
    var drainedCleanly = false

    /** Time on this host's clock, which runs at [rate] times the speed of virtual time. */
    fun clock(now: Duration): Duration = (now - startedAt) * rate

    fun handle(event: HostEvent, now: Duration) = when {
        !alive -> emptyList()
        paused -> emptyList<Nothing>().also { pendingEvents += event }
        else -> reducer.reduce(event, clock(now))
    }

    /** Ends the pause and returns the events that arrived meanwhile, as a resumed process receives them. */
    fun resume(): List<HostEvent> {
        paused = false
        return pendingEvents.toList().also { pendingEvents.clear() }
    }
}
