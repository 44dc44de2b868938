package io.anvilvalve.standins

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import io.anvilvalve.api.port.BackendFault
import io.anvilvalve.api.port.LoadReport
import io.anvilvalve.api.port.ServiceCall
import io.anvilvalve.api.port.ServiceReply
import io.anvilvalve.api.result.Executed
import kotlinx.coroutines.delay
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.AtomicInteger
import java.util.concurrent.atomic.AtomicLong
import kotlin.time.Duration

/** Plain service that counts the runs of each call; it does not deduplicate calls. */
class FakePlainService {
    private val runsByKey = ConcurrentHashMap<String, AtomicInteger>()
    private val running = AtomicInteger()
    private val reportSequence = AtomicLong()

    /** Faults to inject. */
    val faults = PlainServiceFaults()

    /** Length of the replies in bytes; a shorter reply is padded with spaces. */
    @Volatile
    var replyBytes: Int = 0

    /** Number of calls running now. */
    val runningCalls: Int get() = running.get()

    /** Returns the number of runs of calls with the idempotency key [key], or request id for calls without one. */
    fun runs(key: String): Int = runsByKey[key]?.get() ?: 0

    /** Returns the number of runs by idempotency key, or request id for calls without one. */
    fun allRuns(): Map<String, Int> = runsByKey.mapValues { it.value.get() }

    /** Runs [call] and replies with its method, path, body size and run number. */
    suspend fun call(call: ServiceCall): Either<BackendFault, ServiceReply> {
        if (faults.refusals.consume()) return BackendFault(Executed.NO, "the service is busy", HTTP_UNAVAILABLE).left()
        if (faults.closedBeforeRun.consume()) return connectionClosed()
        val run = run(call)
        if (faults.lostAnswers.consume()) return connectionClosed()
        return reply(call, run).right()
    }

    /** Returns a load report with the number of running calls. */
    fun load(): LoadReport = LoadReport(
        sequence = reportSequence.incrementAndGet(),
        running = running.get(),
        waiting = 0,
        kvPiecesFree = 0,
        kvPiecesTotal = 0,
        models = emptyList(),
    )

    private suspend fun run(call: ServiceCall): Int {
        running.incrementAndGet()
        try {
            if (faults.runTime > Duration.ZERO) delay(faults.runTime)
            return runsByKey.computeIfAbsent(call.idempotencyKey ?: call.id.value) { AtomicInteger() }.incrementAndGet()
        } finally {
            running.decrementAndGet()
        }
    }

    private fun reply(call: ServiceCall, run: Int): ServiceReply {
        val text = """{"method":"${call.method}","path":"${call.path}","bytes":${call.body.size},"run":$run}"""
        return ServiceReply(HTTP_OK, "application/json", text.padEnd(replyBytes).toByteArray())
    }

    private fun connectionClosed() = BackendFault(Executed.UNKNOWN, "connection closed").left()

    private companion object {
        const val HTTP_OK = 200
        const val HTTP_UNAVAILABLE = 503
    }
}
