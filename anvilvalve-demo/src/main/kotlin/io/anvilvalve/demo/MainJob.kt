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

/** Sends the demo's requests through the fleet and checks every answer. */
internal class MainJob(private val fleet: DemoFleet, private val print: (String) -> Unit) {
    private val refusals = AtomicInteger()
    private val findings = Findings()
    private val measures = FourMeasures()
    private val client = CallerClient(fleet.http)
    private val random = Random(seed = 1)
    private val models: List<ModelId> = DemoRelease.models.map { it.id }

    /** Returns whether no violation was found. */
    suspend fun run(): Boolean {
        step("one streamed answer") { showStream() }
        step("mixed requests of ${DemoRelease.tenants.size} organisations") { mixedRequests() }
        step("callers that cancel") { cancels() }
        step("plain service") { plainService() }
        step("a withdrawn key") { withdrawnKey() }
        step("planned stop of ${fleet.hosts.last().name} while streams run") { plannedStop() }
        step("a decode engine killed while streams run") { killedEngine() }
        step("memory of the engines") { memory() }
        return report()
    }

    private suspend fun step(name: String, work: suspend () -> Unit) {
        val before = findings.all.size
        val start = TimeSource.Monotonic.markNow()
        work()
        val result = if (findings.all.size == before) "ok" else "VIOLATED"
        print("$result: $name (${start.elapsedNow().inWholeMilliseconds} ms)")
    }

    private suspend fun showStream() {
        val call = ModelCall(DemoRelease.tenants.first(), models.first(), "Which plat shows lot 7?", maxTokens = 24)
        val answer = client.send(fleet.running, call)
        findings.check(answer.faultOf(call))
        print("  ${call.text} -> ${answer.text}")
        print("  first token after ${answer.firstToken?.inWholeMilliseconds} ms, all after ${answer.duration}")
    }

    private suspend fun mixedRequests() {
        val calls = List(MIXED_REQUESTS) { number ->
            val long = number % LONG_EVERY == 0
            randomCall(number, promptChars = if (long) LONG_PROMPT_CHARS else SHORT_PROMPT_CHARS)
        }
        sendAll(calls)
    }

    private fun randomCall(number: Int, promptChars: Int, maxTokens: Int = random.nextInt(1, MAX_ANSWER)) = ModelCall(
        tenant = DemoRelease.tenants[number % DemoRelease.tenants.size],
        model = models[random.nextInt(models.size)],
        text = "request $number ".padEnd(random.nextInt(1, promptChars) + MIN_PROMPT_CHARS, 'x'),
        maxTokens = maxTokens,
        stream = number % 3 != 0,
        chat = number % 2 == 0,
    )

    /** Sends all [calls] spread over a second and over the hosts, and checks their answers. */
    private suspend fun sendAll(calls: List<ModelCall>) = coroutineScope {
        calls.mapIndexed { index, call ->
            async {
                delay(SPREAD * index.toDouble() / calls.size)
                check(client.send(rotated(index), call), call)
            }
        }.awaitAll()
    }

    private fun check(answer: CallerAnswer, call: ModelCall) {
        if (answer.isRefusal) refusals.incrementAndGet()
        findings.check(answer.faultOf(call))
    }

    private fun rotated(index: Int): List<DemoHost> = fleet.running.let { hosts ->
        val shift = index % hosts.size
        hosts.drop(shift) + hosts.take(shift)
    }

    private suspend fun cancels() {
        sendAll(
            List(CANCELS) {
                randomCall(it, SHORT_PROMPT_CHARS, maxTokens = 400).copy(stream = true, cancelAfter = 3)
            },
        )
        val freed = holdsWithin(FREE_LIMIT) { fleet.standins.held().isEmpty() }
        findings.expect(freed) { "held after cancels: ${fleet.standins.held()}" }
    }

    private suspend fun plainService() {
        val key = DemoRelease.tenants.first().key
        val lookup = client.callService(fleet.running[0], "${DemoRelease.repeatable}/shelf/4", key)
        findings.expect(lookup.first == HTTP_OK) { "lookup answered ${lookup.first}: ${lookup.second}" }
        val open = client.callService(fleet.running[0], "${DemoRelease.open}/today")
        findings.expect(open.first == HTTP_OK) { "open route answered ${open.first}: ${open.second}" }
        repeatedCall(key, "pickup-1", lostAnswer = false)
        repeatedCall(key, "pickup-2", lostAnswer = true)
        val missing = client.callService(fleet.running[0], "${DemoRelease.notRepeatable}/confirm", key)
        findings.expect(missing.first == HTTP_BAD_REQUEST) { "a call without a key was not refused: ${missing.first}" }
    }

    /** Sends the same call through two hosts at once and once more afterwards; it must run exactly once. */
    private suspend fun repeatedCall(key: String, idempotencyKey: String, lostAnswer: Boolean) {
        if (lostAnswer) fleet.standins.service.faults.lostAnswers.next()
        val path = "${DemoRelease.notRepeatable}/confirm"
        val answers = coroutineScope {
            fleet.running.take(2).map { async { client.callService(it, path, key, idempotencyKey) } }.awaitAll()
        }
        val later = client.callService(fleet.running[1], path, key, idempotencyKey)
        val runs = fleet.standins.service.runs(idempotencyKey)
        print("  $idempotencyKey: answers ${(answers + later).map { it.first }}, runs $runs")
        findings.expect(runs == 1) { "$idempotencyKey ran $runs times: ${answers + later}" }
        val bodies = (answers + later).filter { it.first == HTTP_OK }.map { it.second }.distinct()
        findings.expect(bodies.size == if (lostAnswer) 0 else 1) { "$idempotencyKey got different replies: $bodies" }
    }

    private suspend fun withdrawnKey() = coroutineScope {
        val tenant = DemoRelease.withdrawn
        val call = ModelCall(tenant, models.first(), "withdrawn", maxTokens = 16)
        findings.check(client.send(fleet.running, call).faultOf(call))
        val (started, stream) = startStreams(
            listOf(call.copy(text = "running", maxTokens = LONG_ANSWER)),
            fleet.running,
        )
        started.await()
        fleet.append(LogRecord.KeyWithdrawn(KeyHash.of(tenant.key)))
        delay(WITHDRAWAL_LIMIT)
        fleet.running.forEach { host ->
            val answer = client.sendOnce(host, call)
            findings.expect(answer.status == HTTP_UNAUTHORIZED) { "${host.name} took a withdrawn key: $answer" }
        }
        val running = stream.single().await()
        findings.expect(running.error != null) {
            "a stream of a withdrawn key went on: ${running.text.length} characters"
        }
    }

    private suspend fun plannedStop() = coroutineScope {
        val host = fleet.running.last()
        val calls = List(STREAMS) { randomCall(it, SHORT_PROMPT_CHARS, LONG_ANSWER).copy(stream = true) }
        val (started, streams) = startStreams(calls, listOf(host))
        started.await()
        val drained = drain(host)
        findings.expect(drained == HTTP_ACCEPTED) { "drain answered $drained" }
        streams.awaitAll().zip(calls).forEach { (answer, call) -> check(answer, call) }
        val clean = holdsWithin(DRAIN_LIMIT) { host.host.exit.isDone } && host.host.exit.get()
        findings.expect(clean) { "${host.name} did not stop cleanly" }
        measures.add(metrics(host))
        fleet.stopped(host)
        sendAll(List(STREAMS) { randomCall(it, SHORT_PROMPT_CHARS) })
    }

    private suspend fun killedEngine() = coroutineScope {
        val calls = List(STREAMS * 2) { randomCall(it, SHORT_PROMPT_CHARS, LONG_ANSWER).copy(stream = true) }
        val (started, streams) = startStreams(calls, fleet.running)
        started.await()
        val engine = fleet.standins.decodeEngines.maxBy { it.engine.held().size }
        print("  ${engine.engine.name} is killed with ${engine.engine.held().size} requests")
        engine.crash()
        streams.awaitAll().zip(calls).forEach { (answer, call) -> check(answer, call) }
    }

    /** Starts [calls]; the first result completes once each has delivered tokens or ended. */
    private suspend fun startStreams(
        calls: List<ModelCall>,
        hosts: List<DemoHost>,
    ): Pair<Deferred<Unit>, List<Deferred<CallerAnswer>>> {
        val started = CompletableDeferred<Unit>()
        val waiting = AtomicInteger(calls.size)
        val scope = CoroutineScope(Dispatchers.Default)
        val streams = calls.mapIndexed { index, call ->
            scope.async {
                var counted = false
                fun count() {
                    if (!counted && waiting.decrementAndGet() == 0) started.complete(Unit)
                    counted = true
                }
                val order = List(hosts.size) { hosts[(index + it) % hosts.size] }
                client.send(order, call) { token -> if (token == TOKENS_BEFORE_FAULT) count() }.also { count() }
            }
        }
        return started to streams
    }

    private suspend fun memory() {
        val freed = holdsWithin(FREE_LIMIT) { fleet.standins.held().isEmpty() }
        findings.expect(freed) { "engines still hold ${fleet.standins.held()}" }
    }

    private suspend fun report(): Boolean {
        fleet.running.forEach { measures.add(metrics(it)) }
        measures.render().forEach(print)
        print("requests refused as not run in all ${CallerClient.MAX_TRIES} tries: ${refusals.get()}")
        findings.all.forEach { print("violation: $it") }
        print("${findings.checked} checks, ${findings.all.size} violations")
        return findings.all.isEmpty()
    }

    private suspend fun metrics(host: DemoHost): String = withContext(Dispatchers.IO) {
        fleet.http.newCall(Request.Builder().url("http://${host.callers}/metrics").build()).execute()
            .use { it.body.string() }
    }

    private suspend fun drain(host: DemoHost): Int = withContext(Dispatchers.IO) {
        val request = Request.Builder().url("http://${host.operators}/admin/drain")
            .header("Authorization", "Bearer ${fleet.operatorToken}")
            .post("""{"deadline_s":${DRAIN_LIMIT.inWholeSeconds}}""".toRequestBody())
            .build()
        fleet.http.newCall(request).execute().use { it.code }
    }

    private companion object {
        const val HTTP_OK = 200
        const val HTTP_ACCEPTED = 202
        const val HTTP_BAD_REQUEST = 400
        const val HTTP_UNAUTHORIZED = 401
        const val MIXED_REQUESTS = 80
        const val LONG_EVERY = 10
        const val SHORT_PROMPT_CHARS = 2_000
        const val LONG_PROMPT_CHARS = 40_000
        const val MIN_PROMPT_CHARS = 20
        const val MAX_ANSWER = 120
        const val LONG_ANSWER = 300
        const val CANCELS = 12
        const val STREAMS = 8
        const val TOKENS_BEFORE_FAULT = 20
        val SPREAD = 1.seconds
        val FREE_LIMIT = 10.seconds
        val DRAIN_LIMIT = 30.seconds

        /** Longer than the freshness limit of 8 s, after which no host may admit the key. */
        val WITHDRAWAL_LIMIT: Duration = 8_500.milliseconds
    }
}
