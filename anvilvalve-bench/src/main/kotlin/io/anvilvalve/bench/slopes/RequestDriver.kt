package io.anvilvalve.bench.slopes

import arrow.core.right
import io.anvilvalve.api.id.KeyHash
import io.anvilvalve.api.id.ModelId
import io.anvilvalve.api.id.RequestId
import io.anvilvalve.api.peer.WorkClass
import io.anvilvalve.api.port.KvHandle
import io.anvilvalve.core.HostEffect
import io.anvilvalve.core.HostEvent
import io.anvilvalve.core.ModelRequest

/** Takes requests through the rules of one host; backend servers answer at once. */
internal class RequestDriver(private val rig: ReducerRig, private val size: FleetSize) {
    private var number = 0
    private val key = KeyHash.of("key-0")

    /** Runs one request to its end; returns whether it was answered whole. */
    fun run(): Boolean {
        val id = RequestId("host-0-${number++}")
        val model = ModelId("model-${number % size.models}")
        val request = ModelRequest(id, key, model, PROMPT_TOKENS, MAX_TOKENS, WorkClass.INTERACTIVE)
        return drive(rig.feed(HostEvent.RequestArrived(request)))
    }

    /** Starts a request and leaves it streaming. */
    fun startOnly(): Boolean {
        val id = RequestId("host-0-${number++}")
        val model = ModelId("model-${number % size.models}")
        val request = ModelRequest(id, key, model, PROMPT_TOKENS, MAX_TOKENS, WorkClass.INTERACTIVE)
        val started = rig.feed(HostEvent.RequestArrived(request)).filterIsInstance<HostEffect.StartPrefill>()
        return started.any { rig.feed(prefilled(it)).any { effect -> effect is HostEffect.StartDecode } }
    }

    private fun drive(effects: List<HostEffect>): Boolean {
        var whole = false
        for (effect in effects) {
            whole = whole or when (effect) {
                is HostEffect.StartPrefill -> drive(rig.feed(prefilled(effect)))
                is HostEffect.StartDecode -> decoded(effect)
                is HostEffect.FinishAnswer -> true
                else -> false
            }
        }
        return whole
    }

    private fun decoded(start: HostEffect.StartDecode): Boolean {
        for (count in 1..MAX_TOKENS step PROGRESS_TOKENS) {
            rig.feed(HostEvent.TokensDelivered(start.id, start.attempt, count))
        }
        return drive(rig.feed(HostEvent.DecodeEnded(start.id, start.attempt, MAX_TOKENS, fault = null)))
    }

    private fun prefilled(start: HostEffect.StartPrefill): HostEvent {
        val engineId = "${start.id}.${start.attempt}"
        val kv = KvHandle(true, start.server.id.value, engineId, "127.0.0.1", 1, 1, KV_LIFE_MILLIS)
        return HostEvent.PrefillEnded(start.id, start.attempt, kv.right())
    }

    private companion object {
        const val PROMPT_TOKENS = 2_000
        const val MAX_TOKENS = 300
        const val PROGRESS_TOKENS = 64
        const val KV_LIFE_MILLIS = 800L
    }
}
