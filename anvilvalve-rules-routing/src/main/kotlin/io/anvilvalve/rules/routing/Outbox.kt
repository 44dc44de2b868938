package io.anvilvalve.rules.routing

import io.anvilvalve.api.result.LogEvent
import kotlin.time.Duration

/** Collects the effects of one event and holds the time of that event. */
internal class Outbox {
    private var effects = ArrayList<RoutingEffect>()

    var now: Duration = Duration.ZERO

    fun emit(effect: RoutingEffect) {
        effects.add(effect)
    }

    fun log(event: LogEvent, vararg fields: Pair<String, Any?>) =
        emit(RoutingEffect.Log(event, fields.associate { (k, v) -> k to v.toString() }))

    fun drain(): List<RoutingEffect> = effects.also { effects = ArrayList() }
}
