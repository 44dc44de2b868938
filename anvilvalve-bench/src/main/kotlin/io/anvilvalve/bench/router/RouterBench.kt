package io.anvilvalve.bench.router

import io.anvilvalve.api.id.ModelId
import io.anvilvalve.api.id.RequestId
import io.anvilvalve.api.port.EngineRequest
import io.anvilvalve.net.HttpBackendServerClient
import io.anvilvalve.net.HttpClients
import kotlinx.coroutines.flow.first
import kotlinx.coroutines.flow.onEach
import kotlinx.coroutines.runBlocking
import org.HdrHistogram.Histogram
import java.util.concurrent.ConcurrentLinkedQueue
import java.util.concurrent.Executors
import java.util.concurrent.Future
import java.util.concurrent.TimeUnit
import java.util.concurrent.atomic.AtomicLong

/** Measures one entry host. Callers run in this process on separate threads, whose usage is not counted. */
internal class RouterBench : AutoCloseable {
    private val http = HttpClients.create()
    private val direct = HttpBackendServerClient()
    private val callerThreads = ConcurrentLinkedQueue<Thread>()
    private val callers = Executors.newFixedThreadPool(CALLERS) { work ->
        Thread(work, "bench-caller").also { callerThreads += it }
    }
    private val directRequests = AtomicLong()

    /** Time to the first token through the router and with direct calls to the same engines, one request at a time. */
    fun addedLatency(): List<RouterMeasurement> = withFleet(PACED_SPEED) { fleet ->
        val caller = BenchCaller(http, fleet.hostAddress, BenchFleet.KEY)
        val routed = Histogram(SIGNIFICANT_DIGITS)
        val unrouted = Histogram(SIGNIFICANT_DIGITS)
        repeat(WARM_UP + LATENCY_SAMPLES) { number ->
            val directNanos = directFirstToken(fleet)
            val routedNanos = caller.stream(BenchFleet.MODEL, tokens = 1).first()
            if (number >= WARM_UP) {
                unrouted.recordValue(directNanos)
                routed.recordValue(routedNanos)
            }
        }
        listOf(50.0, 99.0).map { percentile ->
            val routedMillis = routed.getValueAtPercentile(percentile) / NANOS_PER_MILLI
            val directMillis = unrouted.getValueAtPercentile(percentile) / NANOS_PER_MILLI
            RouterMeasurement(
                "first_token_p${percentile.toInt()}",
                mapOf(
                    "direct_ms" to directMillis,
                    "router_ms" to routedMillis,
                    "added_ms" to routedMillis - directMillis,
                    "ratio" to routedMillis / directMillis,
                ),
            )
        }
    }

    /** CPU time and allocations at the request rate of one host in a fleet of the target size. */
    fun atTargetRate(): List<RouterMeasurement> = withFleet(PACED_SPEED) { fleet ->
        val caller = BenchCaller(http, fleet.hostAddress, BenchFleet.KEY)
        sendAtRate(caller, WARM_UP_SECONDS)
        val before = ProcessUsage.of(callerThreads)
        val start = System.nanoTime()
        val failed = sendAtRate(caller, RATE_SECONDS)
        val seconds = (System.nanoTime() - start) / NANOS_PER_SECOND
        val used = ProcessUsage.of(callerThreads) - before
        val tokens = RATE_SECONDS * REQUESTS_PER_SECOND * TOKENS_PER_REQUEST.toDouble()
        listOf(
            RouterMeasurement(
                "target_rate",
                mapOf(
                    "requests_per_s" to RATE_SECONDS * REQUESTS_PER_SECOND / seconds,
                    "tokens_per_s" to tokens / seconds,
                    "failed" to failed.toDouble(),
                    "cpu_share_of_core" to used.cpuNanos / NANOS_PER_SECOND / seconds,
                    "cpu_micros_per_token" to used.cpuNanos / NANOS_PER_MICRO / tokens,
                    "allocated_bytes_per_token" to used.allocatedBytes / tokens,
                ),
            ),
        )
    }

    /** Closed loop: requests and tokens per second when callers send the next request after each answer. */
    fun saturated(): List<RouterMeasurement> = withFleet(UNPACED_SPEED) { fleet ->
        val caller = BenchCaller(http, fleet.hostAddress, BenchFleet.KEY)
        listOf("requests" to 1, "tokens" to TOKENS_PER_REQUEST).map { (name, tokens) ->
            closedLoop(caller, tokens, WARM_UP_SECONDS)
            val (requests, failed) = closedLoop(caller, tokens, SATURATED_SECONDS)
            val perSecond = requests.toDouble() / SATURATED_SECONDS
            RouterMeasurement(
                "saturated_$name",
                mapOf(
                    "requests_per_s" to perSecond,
                    "tokens_per_s" to perSecond * tokens,
                    "failed" to failed.toDouble(),
                ),
            )
        }
    }

    override fun close() {
        callers.shutdownNow()
        http.dispatcher.executorService.shutdown()
        http.connectionPool.evictAll()
    }

    private fun withFleet(speed: Double, measure: (BenchFleet) -> List<RouterMeasurement>): List<RouterMeasurement> =
        BenchFleet(speed).use { fleet ->
            runBlocking { fleet.start() }
            awaitAdmission(fleet)
            measure(fleet)
        }

    /** Waits until a request succeeds. A new host has no rate tokens yet and refuses requests without running them. */
    private fun awaitAdmission(fleet: BenchFleet) {
        val caller = BenchCaller(http, fleet.hostAddress, BenchFleet.KEY)
        val deadline = System.nanoTime() + START_SECONDS * NANOS_PER_SECOND
        while (System.nanoTime() < deadline) {
            if (runCatching { caller.stream(BenchFleet.MODEL, tokens = 1) }.isSuccess) return
            Thread.sleep(START_POLL_MILLIS)
        }
        error("the entry host accepted no request before the start timeout")
    }

    private fun directFirstToken(fleet: BenchFleet): Long = runBlocking {
        val request = EngineRequest(
            RequestId("direct-${directRequests.incrementAndGet()}"),
            attempt = 1,
            ModelId(BenchFleet.MODEL),
            BenchCaller.PROMPT,
            promptTokens = 6,
            maxTokens = 1,
        )
        val start = System.nanoTime()
        val kv = direct.prefill(fleet.prefillServer, request).getOrNull()
        var firstAt = 0L
        direct.decode(fleet.decodeServer, request, kv).onEach { firstAt = System.nanoTime() }.first()
        firstAt - start
    }

    /** Sends requests at the target rate for [seconds] and returns the number of failed requests. */
    private fun sendAtRate(caller: BenchCaller, seconds: Int): Int {
        val start = System.nanoTime()
        val sent = (0 until seconds * REQUESTS_PER_SECOND).map { number ->
            val due = start + (number * NANOS_PER_SECOND / REQUESTS_PER_SECOND).toLong()
            TimeUnit.NANOSECONDS.sleep(due - System.nanoTime())
            callers.submit { caller.stream(BenchFleet.MODEL, TOKENS_PER_REQUEST) }
        }
        return sent.count { it.failed() }
    }

    private fun closedLoop(caller: BenchCaller, tokens: Int, seconds: Int): Pair<Int, Int> {
        val end = System.nanoTime() + seconds * NANOS_PER_SECOND
        val loops = List(CLOSED_LOOPS) {
            callers.submit<Pair<Int, Int>> {
                var done = 0
                var failed = 0
                while (System.nanoTime() < end) {
                    if (runCatching { caller.stream(BenchFleet.MODEL, tokens) }.isSuccess) done++ else failed++
                }
                done to failed
            }
        }
        return loops.map { it.get() }.reduce { a, b -> a.first + b.first to a.second + b.second }
    }

    private fun Future<*>.failed(): Boolean = runCatching { get() }.isFailure

    private companion object {
        const val CALLERS = 256
        const val CLOSED_LOOPS = 64
        const val WARM_UP = 500
        const val LATENCY_SAMPLES = 1_000
        const val SIGNIFICANT_DIGITS = 3
        const val REQUESTS_PER_SECOND = 26
        const val TOKENS_PER_REQUEST = 300
        const val WARM_UP_SECONDS = 5
        const val RATE_SECONDS = 15
        const val SATURATED_SECONDS = 5
        const val START_SECONDS = 20
        const val START_POLL_MILLIS = 50L
        const val NANOS_PER_MICRO = 1e3
        const val NANOS_PER_MILLI = 1e6
        const val NANOS_PER_SECOND = 1e9

        /** At this engine speed a token takes 1 ms, plus 0.08 ms for each running request. */
        const val PACED_SPEED = 10.0

        /** At this engine speed the delays of the engines are shorter than a timer tick. */
        const val UNPACED_SPEED = 1_000.0
    }
}
