package io.anvilvalve.rules.fleet

/** Collects the effects of the current event in order. */
internal class Outbox {
    private var effects = mutableListOf<FleetEffect>()

    fun add(effect: FleetEffect) {
        effects += effect
    }

    fun drain(): List<FleetEffect> = effects.also { effects = mutableListOf() }
}
