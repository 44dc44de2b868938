package io.anvilvalve.host

import io.anvilvalve.api.id.KeyHash
import io.anvilvalve.api.id.ModelId
import io.anvilvalve.api.id.OrganisationId
import io.anvilvalve.api.peer.WorkClass
import io.anvilvalve.api.result.LogEvent
import io.anvilvalve.api.result.ResultCode
import io.anvilvalve.core.HostEffect
import io.anvilvalve.core.HostEvent
import io.anvilvalve.core.RequestSummary
import io.anvilvalve.settings.HostSettings
import io.anvilvalve.settings.LogFormat
import io.anvilvalve.settings.LogLevel
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.collections.shouldNotBeEmpty
import io.kotest.matchers.shouldBe
import io.kotest.matchers.string.shouldContain
import io.kotest.matchers.string.shouldNotContain
import org.apache.logging.log4j.Level
import org.apache.logging.log4j.LogManager
import org.apache.logging.log4j.core.LoggerContext
import org.apache.logging.log4j.core.appender.AbstractAppender
import java.net.URI
import java.net.http.HttpRequest
import java.net.http.HttpResponse
import java.util.concurrent.CopyOnWriteArrayList
import java.util.concurrent.TimeUnit
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import org.apache.logging.log4j.core.LogEvent as Log4jEvent

/** Guards against unauthorised operator calls, a draining host that reports ready, and leaked API keys. */
class OperatorsApiSpec :
    FunSpec({
        fun admin(
            test: TestHost,
            path: String,
            body: String?,
            token: String? = TestHost.OPERATOR_TOKEN,
        ): HttpResponse<String> {
            val request = HttpRequest.newBuilder(URI("${test.operatorUrl}$path"))
            if (body != null) request.POST(HttpRequest.BodyPublishers.ofString(body))
            token?.let { request.header("Authorization", "Bearer $it") }
            return http.send(request.build(), HttpResponse.BodyHandlers.ofString())
        }

        test("every admin endpoint refuses requests without the operators' token") {
            TestHost().use { test ->
                listOf(null, "", "wrong").forEach { token ->
                    admin(test, "/admin/status", null, token).statusCode() shouldBe 401
                    admin(test, "/admin/keys/withdraw", """{"hash":"${"a".repeat(64)}"}""", token).statusCode() shouldBe
                        401
                    admin(test, "/admin/drain", """{"deadline_s":1}""", token).statusCode() shouldBe 401
                }
                test.reducer.received.isEmpty() shouldBe true
                post("${test.url}/admin/status", "").statusCode() shouldBe 404
            }
        }

        test("the status shows the state of the host") {
            TestHost().use { test ->
                val status = admin(test, "/admin/status", null).body()
                status shouldContain """{"host":"h1","incarnation":"${test.host.incarnation.value}","release":0,"""
                status shouldContain """"ready":false,"draining":false,"members":[],"running":0}"""
            }
        }

        test("a key withdrawal is applied before it is acknowledged, and an invalid hash is refused") {
            TestHost().use { test ->
                val hash = KeyHash.of(TestHost.KEY)
                admin(test, "/admin/keys/withdraw", """{"hash":"${hash.hex}"}""").statusCode() shouldBe 202
                test.reducer.received.remove() shouldBe HostEvent.KeyWithdrawn(hash)
                listOf("{}", "x", """{"hash":"${TestHost.KEY}"}""").forEach {
                    admin(test, "/admin/keys/withdraw", it).statusCode() shouldBe 400
                }
                test.reducer.received.isEmpty() shouldBe true
            }
        }

        test("a drain reports not ready immediately and ends with the reducer's exit effect") {
            val script = { event: HostEvent ->
                when (event) {
                    is HostEvent.KeyWithdrawn -> listOf(HostEffect.ReadyChanged(true))
                    is HostEvent.RequestArrived -> listOf(HostEffect.Exit(clean = true))
                    else -> emptyList()
                }
            }
            TestHost(script = script).use { test ->
                admin(test, "/admin/keys/withdraw", """{"hash":"${"a".repeat(64)}"}""")
                get("${test.url}/readyz").statusCode() shouldBe 200
                admin(test, "/admin/drain", """{"deadline_s":7}""").statusCode() shouldBe 202
                get("${test.url}/readyz").statusCode() shouldBe 503
                get("${test.url}/healthz").statusCode() shouldBe 200
                test.reducer.next<HostEvent.DrainRequested>().deadline shouldBe 7.seconds
                test.host.exit.isDone shouldBe false
                openRequest(test.host.callerPort).use { test.host.exit.get(30, TimeUnit.SECONDS) shouldBe true }
            }
        }

        test("a caller's key reaches no backend server, log line, metric or event") {
            val lines = CopyOnWriteArrayList<String>()
            val appender = object : AbstractAppender("capture", null, null, true, emptyArray()) {
                override fun append(event: Log4jEvent) {
                    lines += event.message.formattedMessage + event.thrown?.stackTraceToString().orEmpty()
                }
            }
            // Jetty logs all headers at level DEBUG, which no setting may enable.
            LogSetup.apply(HostSettings.Output(LogFormat.PLAIN, LogLevel.DEBUG))
            val context = LogManager.getContext(false) as LoggerContext
            appender.start()
            context.configuration.loggers.values.forEach { it.addAppender(appender, Level.ALL, null) }
            context.updateLoggers()
            val script = { event: HostEvent ->
                val log = HostEffect.Log(LogEvent.REQUEST_FINISHED, mapOf("event" to event.toString()))
                val summary = RequestSummary(
                    OrganisationId("o"),
                    ModelId("m"),
                    WorkClass.INTERACTIVE,
                    code = null,
                    firstToken = 20.milliseconds,
                )
                serveAllRequests(event) + log + HostEffect.Measure(summary)
            }
            TestHost(script = script).use { test ->
                post("${test.url}/v1/completions", """{"model":"m","prompt":"hi"}""").statusCode() shouldBe 200
                post("${test.url}/v1/completions", """{"model":""").statusCode() shouldBe 400
                post("${test.url}/svc/orders", "").statusCode() shouldBe 200
                val engine = test.backends.requests.next()
                val call = test.backends.calls.next()
                engine.toString() shouldNotContain TestHost.KEY
                listOfNotNull(call.path, call.body.decodeToString(), call.idempotencyKey, call.contentType)
                    .forEach { it shouldNotContain TestHost.KEY }
                val metrics = get("${test.operatorUrl}/metrics").body()
                metrics shouldContain
                    """anvilvalve_requests_total{class="interactive",code="ok",model="m",organisation="o"}"""
                metrics shouldContain """le="1.5"}"""
                metrics shouldNotContain TestHost.KEY
                test.reducer.received.forEach { it.toString() shouldNotContain TestHost.KEY }
            }
            context.configuration.loggers.values.forEach { it.removeAppender("capture") }
            lines.filter { "AVL-2101" in it }.shouldNotBeEmpty()
            lines.forEach { it shouldNotContain TestHost.KEY }
        }

        test("callers cannot create metric label values") {
            val script = { event: HostEvent ->
                if (event is HostEvent.RequestArrived) {
                    val model = event.request.model
                    val organisation = OrganisationId("o").takeIf { model.value == "invented-1" }
                    val unknown = ResultCode.UNKNOWN_MODEL
                    listOf(
                        HostEffect.Measure(RequestSummary(organisation, model, WorkClass.BATCH, unknown)),
                        HostEffect.Refuse(event.request.id, unknown),
                    )
                } else {
                    emptyList()
                }
            }
            TestHost(script = script).use { test ->
                listOf("invented-1", "invented-2").forEach { model ->
                    post("${test.url}/v1/completions", """{"model":"$model","prompt":"hi"}""").statusCode() shouldBe 404
                }
                get("${test.operatorUrl}/metrics").body() shouldNotContain "invented"
            }
        }
    })
