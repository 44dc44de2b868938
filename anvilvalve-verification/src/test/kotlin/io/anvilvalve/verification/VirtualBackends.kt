package io.anvilvalve.verification

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import io.anvilvalve.api.id.BackendServerId
import io.anvilvalve.api.id.RequestId
import io.anvilvalve.api.log.KeptReply
import io.anvilvalve.api.port.BackendFault
import io.anvilvalve.api.port.EngineTarget
import io.anvilvalve.api.port.KvHandle
import io.anvilvalve.api.port.LoadReport
import io.anvilvalve.api.release.BackendServer
import io.anvilvalve.api.result.Executed
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Engines and plain services in virtual time: what they hold, what they ran, and what they answer. */
internal class VirtualBackends(private val queue: EventQueue) {
    /** Memory held at engines: attempt and the time since when. */
    val held = HashMap<Pair<BackendServerId, String>, Duration>()

    /** Every start of work: attempt or call key, and when. */
    val starts = ArrayList<Start>()

    private val cancelled = HashSet<Pair<BackendServerId, String>>()
    private val dead = HashSet<BackendServerId>()
    private val states = HashMap<BackendServerId, EngineTarget>()
    private val fences = HashMap<BackendServerId, Long>()

    /** Number of coming transfers that never finish. */
    var transfersToStall = 0

    /** Number of coming cancels and calls whose answer is lost. */
    var answersToLose = 0

    /** A start of [work] (an attempt or a call key) for [request]. */
    data class Start(val server: BackendServerId, val work: String, val request: RequestId, val at: Duration)

    fun kill(server: BackendServerId) {
        dead += server
        held.keys.removeAll { it.first == server }
    }

    fun revive(server: BackendServerId) {
        dead -= server
    }

    fun prefill(
        server: BackendServer,
        engineId: String,
        request: RequestId,
        answer: (Either<BackendFault, KvHandle>) -> Unit,
    ) {
        val place = server.id to engineId
        queue.after(NETWORK) {
            when {
                server.id in dead -> answer(refused())

                place in cancelled -> answer(refused())

                else -> {
                    starts += Start(server.id, engineId, request, queue.now)
                    held[place] = queue.now
                    queue.after(PREFILL) { prefilled(server, engineId, answer) }
                }
            }
        }
    }

    /** Streams [total] tokens from [from] on in a few steps; [deliver] gets the count so far. */
    fun decode(
        server: BackendServer,
        engineId: String,
        request: RequestId,
        kv: KvHandle,
        tokens: IntRange,
        deliver: (Int) -> Unit,
        ended: (BackendFault?) -> Unit,
    ) = queue.after(NETWORK) {
        val place = server.id to engineId
        when {
            server.id in dead || place in cancelled -> ended(BackendFault(Executed.NO, "refused"))

            transfersToStall > 0 -> {
                transfersToStall--
                held[place] = queue.now
                queue.after(STALL) { ended(BackendFault(Executed.UNKNOWN, "transfer stalled")) }
            }

            BackendServerId(kv.engineId) to kv.requestId !in held -> ended(BackendFault(Executed.NO, "no KV cache"))

            else -> {
                starts += Start(server.id, engineId, request, queue.now)
                held[place] = queue.now
                held.remove(BackendServerId(kv.engineId) to kv.requestId)
                step(server, engineId, tokens, deliver, ended)
            }
        }
    }

    fun cancel(server: BackendServerId, engineId: String, answer: (Boolean) -> Unit) = queue.after(NETWORK) {
        if (server !in dead) {
            cancelled += server to engineId
            held.remove(server to engineId)
        }
        queue.after(NETWORK) { answer(server !in dead && !loseAnswer()) }
    }

    fun call(
        server: BackendServer,
        work: String,
        request: RequestId,
        answer: (Either<BackendFault, KeptReply>) -> Unit,
    ) = queue.after(NETWORK) {
        if (server.id in dead) {
            answer(refused())
        } else {
            starts += Start(server.id, work, request, queue.now)
            queue.after(SERVICE) {
                val reply = KeptReply(200, "text/plain", "done $work".toByteArray())
                answer(if (loseAnswer()) BackendFault(Executed.UNKNOWN, "lost").left() else reply.right())
            }
        }
    }

    fun load(server: BackendServer): LoadReport? = if (server.id in dead) {
        null
    } else {
        val running = held.keys.count { it.first == server.id }
        LoadReport(queue.now.inWholeMilliseconds, running, 0, server.kvPieces - running, server.kvPieces, server.models)
    }

    fun state(server: BackendServer): EngineTarget? = if (server.id in dead) {
        null
    } else {
        states.getOrPut(server.id) { EngineTarget(server.role, emptyMap()) }
    }

    /** Returns whether the order was refused as old, or null when its answer was lost. */
    fun order(server: BackendServer, fencing: Long, target: EngineTarget): Boolean? {
        if (server.id in dead) return null
        if (server.checksFencing && fencing < (fences[server.id] ?: -1)) return true
        fences[server.id] = fencing
        states[server.id] = target
        return if (loseAnswer()) null else false
    }

    private fun prefilled(server: BackendServer, engineId: String, answer: (Either<BackendFault, KvHandle>) -> Unit) {
        val place = server.id to engineId
        if (server.id in dead || place in cancelled) {
            answer(BackendFault(Executed.UNKNOWN, "cancelled or dead").left())
            return
        }
        queue.after(KV_LIFE) { held.remove(place) }
        val life = KV_LIFE.inWholeMilliseconds
        answer(KvHandle(true, server.id.value, engineId, "127.0.0.1", 1, 1, life).right())
    }

    private fun step(
        server: BackendServer,
        engineId: String,
        tokens: IntRange,
        deliver: (Int) -> Unit,
        ended: (BackendFault?) -> Unit,
    ) {
        val place = server.id to engineId
        queue.after(STEP) {
            val done = minOf(tokens.first + STEP_TOKENS, tokens.last + 1)
            when {
                place !in held -> ended(BackendFault(Executed.UNKNOWN, "stream broke"))

                done > tokens.last -> {
                    held.remove(place)
                    deliver(done)
                    ended(null)
                }

                else -> {
                    deliver(done)
                    step(server, engineId, done..tokens.last, deliver, ended)
                }
            }
        }
    }

    private fun refused() = BackendFault(Executed.NO, "refused").left()

    private fun loseAnswer(): Boolean {
        if (answersToLose == 0) return false
        answersToLose--
        return true
    }

    companion object {
        val NETWORK = 1.milliseconds
        val PREFILL = 100.milliseconds
        val KV_LIFE = 800.milliseconds
        val STALL = 2.seconds
        val STEP = 200.milliseconds
        const val STEP_TOKENS = 10
        val SERVICE = 50.milliseconds
    }
}
