package io.anvilvalve.core

import io.anvilvalve.api.id.BackendServerId
import io.anvilvalve.api.release.BackendServer
import io.anvilvalve.api.result.LogEvent
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Duration.Companion.seconds

/**
 * Cancels that backend servers have not confirmed; each is repeated until confirmed.
 *
 * A cancel is given up after [GIVE_UP_AFTER]: engines free a disconnected stream by themselves, and a server that
 * answers nothing for that long has been replaced.
 */
internal class Cancels(private val out: Outbox, private val onConfirmed: (engineId: String) -> Unit) {
    private data class Key(val server: BackendServerId, val engineId: String)

    private class Pending(val server: BackendServer, val since: Duration, var nextAt: Duration, var wait: Duration)

    private val pending = LinkedHashMap<Key, Pending>()

    val size: Int get() = pending.size

    fun start(server: BackendServer, engineId: String) {
        val key = Key(server.id, engineId)
        if (key in pending) return
        pending[key] = Pending(server, since = out.now, nextAt = out.now + FIRST_RETRY, wait = FIRST_RETRY)
        out.emit(HostEffect.CancelAttempt(server, engineId))
    }

    fun answered(server: BackendServerId, engineId: String, confirmed: Boolean) {
        val key = Key(server, engineId)
        val p = pending[key] ?: return
        if (confirmed) {
            remove(key)
        } else if (p.wait == FIRST_RETRY) {
            out.log(LogEvent.CANCEL_UNCONFIRMED, "server" to server, "attempt" to engineId)
        }
    }

    fun tick() {
        val due = pending.entries.filter { it.value.nextAt <= out.now }.map { it.key to it.value }
        for ((key, p) in due) {
            if (out.now - p.since > GIVE_UP_AFTER) {
                remove(key)
                continue
            }
            p.wait = minOf(p.wait * 2, MAX_RETRY)
            p.nextAt = out.now + p.wait
            out.emit(HostEffect.CancelAttempt(p.server, key.engineId))
        }
    }

    private fun remove(key: Key) {
        pending.remove(key)
        if (pending.keys.none { it.engineId == key.engineId }) onConfirmed(key.engineId)
    }

    companion object {
        val FIRST_RETRY = 200.milliseconds
        val MAX_RETRY = 5.seconds
        val GIVE_UP_AFTER = 10.minutes
    }
}
