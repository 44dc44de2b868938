package io.anvilvalve.rules.routing

import io.anvilvalve.api.routing.Backend
import kotlin.time.DurationUnit

/** Work that backend servers still have to do for the requests of all hosts, in milliseconds at their present speed. */
internal class RemainingWork(
    private val out: Outbox,
    private val loads: ServerLoads,
    private val slowness: ServerSlowness,
    private val health: (Backend) -> ServerHealth,
) {
    /** Requests at [server], including those that only the server itself has stated. */
    fun requests(server: Backend): Int = loads.requests(server.id) + slowness.excess(server.id)

    /** Time for a unit of work: a call, 1,000 prompt tokens or an answer of the mean cost. */
    fun unitMillis(server: Backend): Double =
        health(server).serviceTime(out.now).toDouble(DurationUnit.MILLISECONDS) * slowness.factor(server.id)

    /** Time until a slot is free at [server] for a call behind [ahead] others, at [unitMillis] a call. */
    fun queueMillis(server: Backend, ahead: Int, unitMillis: Double = unitMillis(server)): Double {
        val slots = server.slots.coerceAtLeast(1)
        return (ahead + 1 - slots).coerceAtLeast(0) * unitMillis / slots
    }

    /** Time until the prefill engine [server] has processed its queued prompts and [tokens] more. */
    fun promptMillis(server: Backend, tokens: Int): Double =
        (loads.tokens(server.id) + tokens) * unitMillis(server) / TOKENS_PER_UNIT

    /**
     * Time for an answer of [cost] times the mean at an engine that has reserved the share [used] of its memory.
     *
     * The speed of an engine falls slowly with its load, because it computes all of its answers together.
     */
    fun answerMillis(server: Backend, used: Double, cost: Double): Double =
        (IDLE_ENGINE_LOAD + used) * unitMillis(server) * cost

    private companion object {
        const val TOKENS_PER_UNIT = 1_000.0
        const val IDLE_ENGINE_LOAD = 0.6
    }
}
