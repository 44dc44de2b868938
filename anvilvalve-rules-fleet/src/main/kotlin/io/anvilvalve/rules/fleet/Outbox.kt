package io.anvilvalve.rules.fleet

/** Effects of the event in hand, in order. */
internal class Outbox {
    private var effects = mutableListOf<FleetEffect>()

    fun add(effect: FleetEffect) {
        effects += effect
    }

    fun drain(): List<FleetEffect> = effects.also { effects = mutableListOf() }
}
