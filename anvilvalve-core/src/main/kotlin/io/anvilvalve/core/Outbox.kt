package io.anvilvalve.core

import io.anvilvalve.api.result.LogEvent
import kotlin.time.Duration

/** Effects of the event that is being handled, and the time of that event. */
internal class Outbox {
    private val effects = ArrayList<HostEffect>()

    var now: Duration = Duration.ZERO

    fun emit(effect: HostEffect) {
        effects += effect
    }

    fun log(event: LogEvent, vararg fields: Pair<String, Any?>) =
        emit(HostEffect.Log(event, fields.associate { (k, v) -> k to v.toString() }))

    fun drain(): List<HostEffect> = ArrayList(effects).also { effects.clear() }
}
