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

/** Takes requests through the rules of one host; backend servers answer at once. */
internal class RequestDriver(private val rig: ReducerRig, private val size: FleetSize) {
    private var number = 0
    private val key = KeyHash.of("key-0")

    /** Runs one request to its end; returns whether it was answered whole. */
    fun run(): Boolean = drive(arrive())

    /** Starts a request and leaves it streaming; returns whether it got its first token. */
    fun startOnly(): Boolean {
        rig.tick()
        val prefill = arrive().filterIsInstance<HostEffect.StartPrefill>().firstOrNull() ?: return false
        val effects = rig.feed(prefilled(prefill))
        val decode = effects.filterIsInstance<HostEffect.StartDecode>().firstOrNull() ?: return false
        rig.feed(HostEvent.TokensDelivered(decode.id, decode.attempt, 1))
        return true
    }

    private fun arrive(): List<HostEffect> {
        val id = RequestId("host-0-${number++}")
        val model = ModelId("model-${number % size.models}")
        val request = ModelRequest(id, key, model, PROMPT_TOKENS, MAX_TOKENS, WorkClass.INTERACTIVE)
        return rig.feed(HostEvent.RequestArrived(request))
    }

    /** Runs one request whose pool another host owns; that host places it at once. */
    fun runElsewhere(): Boolean {
        val sent = arrive().filterIsInstance<HostEffect.SendFrame>().first { it.frame.message is PeerMessage.Submit }
        val submit = sent.frame.message as PeerMessage.Submit
        val placed = PlacementOutcome.Placed(BackendServerId("server-0"), BackendServerId("server-1"))
        return drive(rig.receive(sent.to, PeerMessage.Placement(submit.item.id, submit.attempt, placed)))
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
