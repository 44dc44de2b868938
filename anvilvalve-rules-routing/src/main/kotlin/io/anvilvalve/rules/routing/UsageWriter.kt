package io.anvilvalve.rules.routing

import io.anvilvalve.api.BinaryCodec
import io.anvilvalve.api.routing.RecordedUsage
import io.anvilvalve.api.routing.StateTopic
import kotlinx.serialization.builtins.ListSerializer
import kotlin.time.Duration

/**
 * Writes usage near quotas to the store, from one host for all, so that it is available after a restart of all hosts.
 */
internal class UsageWriter(private val out: Outbox, private val peers: Peers, private val quotas: SharedQuotas) {
    private var writtenAt: Duration? = null
    private var lastWasEmpty = true

    fun tick() {
        val since = writtenAt?.let { out.now - it } ?: Duration.INFINITE
        if (since < RoutingTimes.MIN_USAGE_INTERVAL || !peers.isLeader) return
        if (since < RoutingTimes.USAGE_INTERVAL && !quotas.anyHasRisen()) return
        val records = quotas.records()
        if (records.isEmpty() && lastWasEmpty) return
        writtenAt = out.now
        lastWasEmpty = records.isEmpty()
        val value = BinaryCodec.encode(ListSerializer(RecordedUsage.serializer()), records)
        out.emit(RoutingEffect.PutState(StateTopic.USAGE, KEY, value))
    }

    /** Writes the usage again, because the store has an older record. */
    fun storeRestored() {
        writtenAt = null
        lastWasEmpty = false
    }

    private companion object {
        const val KEY = "near-quota"
    }
}
