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

/** Simulates engines and plain services in virtual time: memory held, work started, and answers. */
internal class VirtualBackends(private val queue: EventQueue) {
    /** KV memory held at engines: server and attempt, with the time at which it was allocated. */
    val heldKv = HashMap<Pair<BackendServerId, String>, Duration>()

    /** All starts of work at backend servers, in order of time. */
    val starts = ArrayList<Start>()

    private val cancelled = HashSet<Pair<BackendServerId, String>>()
    private val crashed = HashSet<BackendServerId>()
    private val targets = HashMap<BackendServerId, EngineTarget>()
    private val newestFencingTokens = HashMap<BackendServerId, Long>()

    /** Number of next KV transfers that never finish and fail after [STALL_TIMEOUT]. */
    var transfersToStall = 0

    /** Number of next cancels, orders and service calls that take effect but whose answer is lost. */
    var answersToLose = 0

    /** A start of [workId] (an attempt or a call key) for [request]. */
    data class Start(val server: BackendServerId, val workId: String, val request: RequestId, val at: Duration)

    fun crash(server: BackendServerId) {
        crashed += server
        heldKv.keys.removeAll { it.first == server }
    }

    fun restart(server: BackendServerId) {
        crashed -= server
    }

    fun prefill(
        server: BackendServer,
        engineId: String,
        request: RequestId,
        answer: (Either<BackendFault, KvHandle>) -> Unit,
    ) {
        val attempt = server.id to engineId
        queue.schedule(NETWORK_LATENCY) {
            when {
                server.id in crashed -> answer(refused())

                attempt in cancelled -> answer(refused())

                else -> {
                    starts += Start(server.id, engineId, request, queue.now)
                    heldKv[attempt] = queue.now
                    queue.schedule(PREFILL_TIME) { endPrefill(server, engineId, answer) }
                }
            }
        }
    }

    /** Streams [tokens] in batches of [DECODE_STEP_TOKENS]; [onTokens] receives the token count so far. */
    fun decode(
        server: BackendServer,
        engineId: String,
        request: RequestId,
        kv: KvHandle,
        tokens: IntRange,
        onTokens: (Int) -> Unit,
        onEnd: (BackendFault?) -> Unit,
    ) = queue.schedule(NETWORK_LATENCY) {
        val attempt = server.id to engineId
        when {
            server.id in crashed || attempt in cancelled -> onEnd(BackendFault(Executed.NO, "refused"))

            transfersToStall > 0 -> {
                transfersToStall--
                heldKv[attempt] = queue.now
                queue.schedule(STALL_TIMEOUT) { onEnd(BackendFault(Executed.UNKNOWN, "transfer stalled")) }
            }

            BackendServerId(kv.engineId) to kv.requestId !in heldKv -> onEnd(BackendFault(Executed.NO, "no KV cache"))

            else -> {
                starts += Start(server.id, engineId, request, queue.now)
                heldKv[attempt] = queue.now
                heldKv.remove(BackendServerId(kv.engineId) to kv.requestId)
                streamTokens(server, engineId, tokens, onTokens, onEnd)
            }
        }
    }

    fun cancel(server: BackendServerId, engineId: String, answer: (Boolean) -> Unit) = queue.schedule(NETWORK_LATENCY) {
        if (server !in crashed) {
            cancelled += server to engineId
            heldKv.remove(server to engineId)
        }
        queue.schedule(NETWORK_LATENCY) { answer(server !in crashed && !loseAnswer()) }
    }

    fun call(
        server: BackendServer,
        workId: String,
        request: RequestId,
        answer: (Either<BackendFault, KeptReply>) -> Unit,
    ) = queue.schedule(NETWORK_LATENCY) {
        if (server.id in crashed) {
            answer(refused())
        } else {
            starts += Start(server.id, workId, request, queue.now)
            queue.schedule(SERVICE_TIME) {
                val reply = KeptReply(200, "text/plain", "done $workId".toByteArray())
                answer(if (loseAnswer()) BackendFault(Executed.UNKNOWN, "lost").left() else reply.right())
            }
        }
    }

    fun load(server: BackendServer): LoadReport? = if (server.id in crashed) {
        null
    } else {
        val running = heldKv.keys.count { it.first == server.id }
        LoadReport(queue.now.inWholeMilliseconds, running, 0, server.kvPieces - running, server.kvPieces, server.models)
    }

    fun state(server: BackendServer): EngineTarget? = if (server.id in crashed) {
        null
    } else {
        targets.getOrPut(server.id) { EngineTarget(server.role, emptyMap()) }
    }

    /** Returns whether the order was refused for an outdated fencing token; null if there is no answer. */
    fun order(server: BackendServer, fencing: Long, target: EngineTarget): Boolean? {
        if (server.id in crashed) return null
        if (server.checksFencing && fencing < (newestFencingTokens[server.id] ?: -1)) return true
        newestFencingTokens[server.id] = fencing
        targets[server.id] = target
        return if (loseAnswer()) null else false
    }

    private fun endPrefill(server: BackendServer, engineId: String, answer: (Either<BackendFault, KvHandle>) -> Unit) {
        val attempt = server.id to engineId
        if (server.id in crashed || attempt in cancelled) {
            answer(BackendFault(Executed.UNKNOWN, "cancelled or crashed").left())
            return
        }
        queue.schedule(KV_LIFETIME) { heldKv.remove(attempt) }
        val lifetime = KV_LIFETIME.inWholeMilliseconds
        answer(KvHandle(true, server.id.value, engineId, "127.0.0.1", 1, 1, lifetime).right())
    }

    private fun streamTokens(
        server: BackendServer,
        engineId: String,
        tokens: IntRange,
        onTokens: (Int) -> Unit,
        onEnd: (BackendFault?) -> Unit,
    ) {
        val attempt = server.id to engineId
        queue.schedule(DECODE_STEP) {
            val done = minOf(tokens.first + DECODE_STEP_TOKENS, tokens.last + 1)
            when {
                attempt !in heldKv -> onEnd(BackendFault(Executed.UNKNOWN, "stream broken"))

                done > tokens.last -> {
                    heldKv.remove(attempt)
                    onTokens(done)
                    onEnd(null)
                }

                else -> {
                    onTokens(done)
                    streamTokens(server, engineId, done..tokens.last, onTokens, onEnd)
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
        val NETWORK_LATENCY = 1.milliseconds
        val PREFILL_TIME = 100.milliseconds
        val KV_LIFETIME = 800.milliseconds
        val STALL_TIMEOUT = 2.seconds
        val DECODE_STEP = 200.milliseconds
        const val DECODE_STEP_TOKENS = 10
        val SERVICE_TIME = 50.milliseconds
    }
}
