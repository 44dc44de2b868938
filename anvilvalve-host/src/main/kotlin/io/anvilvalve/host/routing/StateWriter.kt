package io.anvilvalve.host.routing

import io.anvilvalve.api.result.LogEvent
import io.anvilvalve.api.routing.StateStore
import io.anvilvalve.rules.routing.RoutingEffect
import java.util.concurrent.Executors
import java.util.concurrent.atomic.AtomicReference

/** Writes values to the store on its own thread; a newer value replaces one that is not yet being written. */
internal class StateWriter(private val store: StateStore, private val log: (LogEvent, Map<String, String>) -> Unit) :
    AutoCloseable {
    private val executor = Executors.newSingleThreadExecutor { Thread(it, "write-state").apply { isDaemon = true } }
    private val pending = AtomicReference<RoutingEffect.PutState?>()
    private var failing = false

    fun put(value: RoutingEffect.PutState) {
        if (pending.getAndSet(value) == null) executor.execute(::writePending)
    }

    override fun close() {
        executor.shutdownNow()
    }

    private fun writePending() {
        val value = pending.getAndSet(null) ?: return
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
