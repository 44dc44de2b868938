package io.anvilvalve.host.routing

import io.anvilvalve.api.result.LogEvent
import io.anvilvalve.api.routing.StateStore
import io.anvilvalve.api.routing.StateTopic
import io.anvilvalve.rules.routing.RoutingEffect
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.Executors

/** Writes values to the store on its own thread; a newer value of a key replaces one that is not yet being written. */
internal class StateWriter(private val store: StateStore, private val log: (LogEvent, Map<String, String>) -> Unit) :
    AutoCloseable {
    private val executor = Executors.newSingleThreadExecutor { Thread(it, "write-state").apply { isDaemon = true } }
    private val pending = ConcurrentHashMap<Record, RoutingEffect.PutState>()
    private var failing = false

    private data class Record(val topic: StateTopic, val key: String)

    fun put(value: RoutingEffect.PutState) {
        val record = Record(value.topic, value.key)
        if (pending.put(record, value) == null) executor.execute { writePending(record) }
    }

    override fun close() {
        executor.shutdownNow()
    }

    private fun writePending(record: Record) {
        val value = pending.remove(record) ?: return
        val fault = store.put(value.topic, value.key, value.value).leftOrNull()
        if ((fault != null) == failing) return
        failing = fault != null
        if (fault == null) {
            log(LogEvent.STATE_WRITTEN, mapOf("topic" to value.topic.name))
        } else {
            log(LogEvent.STATE_UNWRITTEN, mapOf("topic" to value.topic.name, "reason" to fault.reason))
        }
    }
}
