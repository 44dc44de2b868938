package io.anvilvalve.demo

import io.anvilvalve.api.id.KeyHash
import io.anvilvalve.api.id.ModelId
import io.anvilvalve.api.log.LogRecord
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Deferred
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.withContext
import okhttp3.Request
import okhttp3.RequestBody.Companion.toRequestBody
import java.util.concurrent.atomic.AtomicInteger
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TimeSource

/** Sends the demo's requests through the fleet, injects faults and checks every answer. */
internal class DemoScenario(private val fleet: DemoFleet, private val printLine: (String) -> Unit) {
    private val refusals = AtomicInteger()
    private val findings = Findings()
    private val fleetMetrics = FleetMetrics()
    private val client = CallerClient(fleet.http)
    private val random = Random(seed = 1)
    private val models: List<ModelId> = DemoRelease.models.map { it.id }

    /** Runs all steps; returns true if no violation was found. */
    suspend fun run(): Boolean {
        runStep("one streamed answer") { sendStreamedRequest() }
        runStep("mixed requests of ${DemoRelease.tenants.size} organisations") { sendMixedRequests() }
        runStep("callers that cancel") { cancelRequests() }
        runStep("plain service") { callPlainService() }
        runStep("a withdrawn key") { withdrawKey() }
        runStep("planned stop of ${fleet.hosts.last().name} while streams run") { drainHost() }
        runStep("a decode engine killed while streams run") { killEngine() }
        runStep("memory of the engines") { checkMemoryReleased() }
        return printReport()
    }

    private suspend fun runStep(name: String, work: suspend () -> Unit) {
        val before = findings.violations.size
        val start = TimeSource.Monotonic.markNow()
        work()
        val result = if (findings.violations.size == before) "ok" else "VIOLATED"
        printLine("$result: $name (${start.elapsedNow().inWholeMilliseconds} ms)")
    }

    private suspend fun sendStreamedRequest() {
        val call = ModelCall(DemoRelease.tenants.first(), models.first(), "Which plat shows lot 7?", maxTokens = 24)
        val answer = client.send(fleet.running, call)
        findings.recordCheck(answer.findViolation(call))
        printLine("  ${call.text} -> ${answer.text}")
        printLine("  first token after ${answer.firstToken?.inWholeMilliseconds} ms, complete after ${answer.duration}")
    }

    private suspend fun sendMixedRequests() {
        val calls = List(MIXED_REQUESTS) { number ->
            val long = number % LONG_PROMPT_INTERVAL == 0
            randomCall(number, promptChars = if (long) LONG_PROMPT_CHARS else SHORT_PROMPT_CHARS)
        }
        sendAll(calls)
    }

    private fun randomCall(number: Int, promptChars: Int, maxTokens: Int = random.nextInt(1, MAX_TOKENS)) = ModelCall(
        tenant = DemoRelease.tenants[number % DemoRelease.tenants.size],
        model = models[random.nextInt(models.size)],
        text = "request $number ".padEnd(random.nextInt(1, promptChars) + MIN_PROMPT_CHARS, 'x'),
        maxTokens = maxTokens,
        stream = number % 3 != 0,
        chat = number % 2 == 0,
    )

    /** Sends [calls] evenly over [SEND_WINDOW], each to the next host in turn, and checks the answers. */
    private suspend fun sendAll(calls: List<ModelCall>) = coroutineScope {
        calls.mapIndexed { index, call ->
            async {
                delay(SEND_WINDOW * index.toDouble() / calls.size)
                checkAnswer(client.send(hostsStartingAt(index), call), call)
            }
        }.awaitAll()
    }

    private fun checkAnswer(answer: CallerAnswer, call: ModelCall) {
        if (answer.isRefusal) refusals.incrementAndGet()
        findings.recordCheck(answer.findViolation(call))
    }

    private fun hostsStartingAt(index: Int): List<DemoHost> = fleet.running.let { hosts ->
        val shift = index % hosts.size
        hosts.drop(shift) + hosts.take(shift)
    }

    private suspend fun cancelRequests() {
        sendAll(
            List(CANCELLED_REQUESTS) {
                randomCall(it, SHORT_PROMPT_CHARS, maxTokens = 400).copy(stream = true, cancelAfter = 3)
            },
        )
        val released = holdsWithin(MEMORY_RELEASE_TIMEOUT) { fleet.standins.heldAttempts().isEmpty() }
        findings.expect(released) { "memory held after cancellations: ${fleet.standins.heldAttempts()}" }
    }

    private suspend fun callPlainService() {
        val key = DemoRelease.tenants.first().key
        val lookup = client.callService(fleet.running[0], "${DemoRelease.repeatableRoute}/shelf/4", key)
        findings.expect(lookup.first == HTTP_OK) { "lookup answered ${lookup.first}: ${lookup.second}" }
        val open = client.callService(fleet.running[0], "${DemoRelease.openRoute}/today")
        findings.expect(open.first == HTTP_OK) { "open route answered ${open.first}: ${open.second}" }
        sendRepeatedCall(key, "pickup-1", lostAnswer = false)
        sendRepeatedCall(key, "pickup-2", lostAnswer = true)
        val missing = client.callService(fleet.running[0], "${DemoRelease.nonRepeatableRoute}/confirm", key)
        findings.expect(missing.first == HTTP_BAD_REQUEST) { "call without idempotency key answered ${missing.first}" }
    }

    /** Sends the same call through two hosts at once and once more afterwards; the service must run it exactly once. */
    private suspend fun sendRepeatedCall(key: String, idempotencyKey: String, lostAnswer: Boolean) {
        if (lostAnswer) fleet.standins.service.faults.lostAnswers.next()
        val path = "${DemoRelease.nonRepeatableRoute}/confirm"
        val answers = coroutineScope {
            fleet.running.take(2).map { async { client.callService(it, path, key, idempotencyKey) } }.awaitAll()
        }
        val later = client.callService(fleet.running[1], path, key, idempotencyKey)
        val runs = fleet.standins.service.runs(idempotencyKey)
        printLine("  $idempotencyKey: answers ${(answers + later).map { it.first }}, runs $runs")
        findings.expect(runs == 1) { "$idempotencyKey ran $runs times: ${answers + later}" }
        val bodies = (answers + later).filter { it.first == HTTP_OK }.map { it.second }.distinct()
        findings.expect(bodies.size == if (lostAnswer) 0 else 1) { "$idempotencyKey got unexpected replies: $bodies" }
    }

    private suspend fun withdrawKey() = coroutineScope {
        val tenant = DemoRelease.withdrawnTenant
        val call = ModelCall(tenant, models.first(), "withdrawn", maxTokens = 16)
        findings.recordCheck(client.send(fleet.running, call).findViolation(call))
        val (started, stream) = startStreams(
            listOf(call.copy(text = "running", maxTokens = LONG_MAX_TOKENS)),
            fleet.running,
        )
        started.await()
        fleet.append(LogRecord.KeyWithdrawn(KeyHash.of(tenant.key)))
        delay(WITHDRAWAL_WAIT)
        fleet.running.forEach { host ->
            val answer = client.sendOnce(host, call)
            findings.expect(answer.status == HTTP_UNAUTHORIZED) { "${host.name} accepted a withdrawn key: $answer" }
        }
        val running = stream.single().await()
        findings.expect(running.error != null) {
            "a stream of a withdrawn key was not stopped: ${running.text.length} characters received"
        }
    }

    private suspend fun drainHost() = coroutineScope {
        val host = fleet.running.last()
        val calls = List(STREAM_COUNT) { randomCall(it, SHORT_PROMPT_CHARS, LONG_MAX_TOKENS).copy(stream = true) }
        val (started, streams) = startStreams(calls, listOf(host))
        started.await()
        val drainStatus = requestDrain(host)
        findings.expect(drainStatus == HTTP_ACCEPTED) { "drain answered $drainStatus" }
        streams.awaitAll().zip(calls).forEach { (answer, call) -> checkAnswer(answer, call) }
        val cleanExit = holdsWithin(DRAIN_DEADLINE) { host.host.exit.isDone } && host.host.exit.get()
        findings.expect(cleanExit) { "${host.name} did not stop cleanly" }
        fleetMetrics.add(scrapeMetrics(host))
        fleet.closeStopped(host)
        sendAll(List(STREAM_COUNT) { randomCall(it, SHORT_PROMPT_CHARS) })
    }

    private suspend fun killEngine() = coroutineScope {
        val calls = List(STREAM_COUNT * 2) { randomCall(it, SHORT_PROMPT_CHARS, LONG_MAX_TOKENS).copy(stream = true) }
        val (started, streams) = startStreams(calls, fleet.running)
        started.await()
        val engine = fleet.standins.decodeEngines.maxBy { it.engine.held().size }
        printLine("  ${engine.engine.name} is killed with ${engine.engine.held().size} requests")
        engine.crash()
        streams.awaitAll().zip(calls).forEach { (answer, call) -> checkAnswer(answer, call) }
    }

    /** Starts [calls]; the first result completes once each has delivered [TOKENS_BEFORE_FAULT] tokens or ended. */
    private suspend fun startStreams(
        calls: List<ModelCall>,
        hosts: List<DemoHost>,
    ): Pair<Deferred<Unit>, List<Deferred<CallerAnswer>>> {
        val started = CompletableDeferred<Unit>()
        val notStarted = AtomicInteger(calls.size)
        val scope = CoroutineScope(Dispatchers.Default)
        val streams = calls.mapIndexed { index, call ->
            scope.async {
                var marked = false
                fun markStarted() {
                    if (!marked && notStarted.decrementAndGet() == 0) started.complete(Unit)
                    marked = true
                }
                val order = List(hosts.size) { hosts[(index + it) % hosts.size] }
                client.send(order, call) { token -> if (token == TOKENS_BEFORE_FAULT) markStarted() }
                    .also { markStarted() }
            }
        }
        return started to streams
    }

    private suspend fun checkMemoryReleased() {
        val released = holdsWithin(MEMORY_RELEASE_TIMEOUT) { fleet.standins.heldAttempts().isEmpty() }
        findings.expect(released) { "memory held at the end: ${fleet.standins.heldAttempts()}" }
    }

    private suspend fun printReport(): Boolean {
        fleet.running.forEach { fleetMetrics.add(scrapeMetrics(it)) }
        fleetMetrics.render().forEach(printLine)
        printLine("requests refused as not executed in all ${CallerClient.MAX_ATTEMPTS} attempts: ${refusals.get()}")
        findings.violations.forEach { printLine("violation: $it") }
        printLine("${findings.checkCount} checks, ${findings.violations.size} violations")
        return findings.violations.isEmpty()
    }

    private suspend fun scrapeMetrics(host: DemoHost): String = withContext(Dispatchers.IO) {
        fleet.http.newCall(Request.Builder().url("http://${host.callerAddress}/metrics").build()).execute()
            .use { it.body.string() }
    }

    private suspend fun requestDrain(host: DemoHost): Int = withContext(Dispatchers.IO) {
        val request = Request.Builder().url("http://${host.operatorAddress}/admin/drain")
            .header("Authorization", "Bearer ${fleet.operatorToken}")
            .post("""{"deadline_s":${DRAIN_DEADLINE.inWholeSeconds}}""".toRequestBody())
            .build()
        fleet.http.newCall(request).execute().use { it.code }
    }

    private companion object {
        const val HTTP_OK = 200
        const val HTTP_ACCEPTED = 202
        const val HTTP_BAD_REQUEST = 400
        const val HTTP_UNAUTHORIZED = 401
        const val MIXED_REQUESTS = 80
        const val LONG_PROMPT_INTERVAL = 10
        const val SHORT_PROMPT_CHARS = 2_000
        const val LONG_PROMPT_CHARS = 40_000
        const val MIN_PROMPT_CHARS = 20
        const val MAX_TOKENS = 120
        const val LONG_MAX_TOKENS = 300
        const val CANCELLED_REQUESTS = 12
        const val STREAM_COUNT = 8
        const val TOKENS_BEFORE_FAULT = 20
        val SEND_WINDOW = 1.seconds
        val MEMORY_RELEASE_TIMEOUT = 10.seconds
        val DRAIN_DEADLINE = 30.seconds

        /** Exceeds the freshness limit of 8 s, after which no host may accept a withdrawn key. */
        val WITHDRAWAL_WAIT: Duration = 8_500.milliseconds
    }
}
