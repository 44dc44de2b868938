package io.anvilvalve.core

import io.anvilvalve.api.id.BackendServerId
import io.anvilvalve.api.release.BackendServer
import io.anvilvalve.api.result.LogEvent
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Duration.Companion.seconds

/**
 * Cancels that backend servers have not confirmed; each is retried until it is confirmed.
 *
 * Retries stop after [RETRY_TIMEOUT]: engines free a disconnected stream on their own, and a server that has not
 * answered for this long has been replaced.
 *
 * [onFinished] is called when no cancel of an attempt is pending any more, confirmed or not.
 */
internal class Cancels(private val out: Outbox, private val onFinished: (engineId: String) -> Unit) {
    private data class Key(val server: BackendServerId, val engineId: String)

    private class Pending(val server: BackendServer, val startedAt: Duration, var nextAt: Duration, var delay: Duration)

    private val pending = LinkedHashMap<Key, Pending>()

    val size: Int get() = pending.size

    fun start(server: BackendServer, engineId: String) {
        val key = Key(server.id, engineId)
        if (key in pending) return
        pending[key] = Pending(server, startedAt = out.now, nextAt = out.now + INITIAL_DELAY, delay = INITIAL_DELAY)
        out.emit(HostEffect.CancelAttempt(server, engineId))
    }

    fun answered(server: BackendServerId, engineId: String, confirmed: Boolean) {
        val key = Key(server, engineId)
        val entry = pending[key] ?: return
        if (confirmed) {
            remove(key)
        } else if (entry.delay == INITIAL_DELAY) {
            out.log(LogEvent.CANCEL_UNCONFIRMED, "server" to server, "attempt" to engineId)
        }
    }

    fun tick() {
        val due = pending.entries.filter { it.value.nextAt <= out.now }.map { it.key to it.value }
        for ((key, entry) in due) {
            if (out.now - entry.startedAt > RETRY_TIMEOUT) {
                remove(key)
                continue
            }
            entry.delay = minOf(entry.delay * 2, MAX_DELAY)
            entry.nextAt = out.now + entry.delay
            out.emit(HostEffect.CancelAttempt(entry.server, key.engineId))
        }
    }

    private fun remove(key: Key) {
        pending.remove(key)
        if (pending.keys.none { it.engineId == key.engineId }) onFinished(key.engineId)
    }

    companion object {
        val INITIAL_DELAY = 200.milliseconds
        val MAX_DELAY = 5.seconds
        val RETRY_TIMEOUT = 10.minutes
    }
}
