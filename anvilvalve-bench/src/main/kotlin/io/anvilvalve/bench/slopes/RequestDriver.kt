package io.anvilvalve.bench.slopes

import arrow.core.right
import io.anvilvalve.api.id.BackendServerId
import io.anvilvalve.api.id.KeyHash
import io.anvilvalve.api.id.ModelId
import io.anvilvalve.api.id.RequestId
import io.anvilvalve.api.peer.PeerMessage
import io.anvilvalve.api.peer.PlacementOutcome
import io.anvilvalve.api.peer.WorkClass
import io.anvilvalve.api.port.KvHandle
import io.anvilvalve.core.HostEffect
import io.anvilvalve.core.HostEvent
import io.anvilvalve.core.ModelRequest

/** Drives requests through the reducer of one host; backend servers answer without delay. */
internal class RequestDriver(private val rig: ReducerRig, private val size: FleetSize) {
    private var number = 0
    private val key = KeyHash.of("key-0")

    /** Runs one request to its end; returns whether it got a complete answer. */
    fun run(): Boolean = perform(arrive())

    /** Starts a request and leaves it streaming; returns whether it received its first token. */
    fun startOnly(): Boolean {
        rig.tick()
        val prefill = arrive().filterIsInstance<HostEffect.StartPrefill>().firstOrNull() ?: return false
        val effects = rig.dispatch(prefillEnded(prefill))
        val decode = effects.filterIsInstance<HostEffect.StartDecode>().firstOrNull() ?: return false
        rig.dispatch(HostEvent.TokensDelivered(decode.id, decode.attempt, 1))
        return true
    }

    private fun arrive(): List<HostEffect> {
        val id = RequestId("host-0-${number++}")
        val model = ModelId("model-${number % size.models}")
        val request = ModelRequest(id, key, model, PROMPT_TOKENS, MAX_TOKENS, WorkClass.INTERACTIVE)
        return rig.dispatch(HostEvent.RequestArrived(request))
    }

    /** Runs one request whose pool is owned by another host, which places it without delay. */
    fun runPlacedByPeer(): Boolean {
        val sent = arrive().filterIsInstance<HostEffect.SendFrame>().first { it.frame.message is PeerMessage.Submit }
        val submit = sent.frame.message as PeerMessage.Submit
        val placed = PlacementOutcome.Placed(BackendServerId("server-0"), BackendServerId("server-1"))
        return perform(rig.receive(sent.to, PeerMessage.Placement(submit.item.id, submit.attempt, placed)))
    }

    private fun perform(effects: List<HostEffect>): Boolean {
        var complete = false
        for (effect in effects) {
            complete = complete or when (effect) {
                is HostEffect.StartPrefill -> perform(rig.dispatch(prefillEnded(effect)))
                is HostEffect.StartDecode -> runDecode(effect)
                is HostEffect.FinishAnswer -> true
                else -> false
            }
        }
        return complete
    }

    private fun runDecode(start: HostEffect.StartDecode): Boolean {
        for (count in 1..MAX_TOKENS step PROGRESS_TOKENS) {
            rig.dispatch(HostEvent.TokensDelivered(start.id, start.attempt, count))
        }
        return perform(rig.dispatch(HostEvent.DecodeEnded(start.id, start.attempt, MAX_TOKENS, fault = null)))
    }

    private fun prefillEnded(start: HostEffect.StartPrefill): HostEvent {
        val engineId = "${start.id}.${start.attempt}"
        val kv = KvHandle(true, start.server.id.value, engineId, "127.0.0.1", 1, 1, KV_LIFETIME_MILLIS)
        return HostEvent.PrefillEnded(start.id, start.attempt, kv.right())
    }

    private companion object {
        const val PROMPT_TOKENS = 2_000
        const val MAX_TOKENS = 300
        const val PROGRESS_TOKENS = 64
        const val KV_LIFETIME_MILLIS = 800L
    }
}
