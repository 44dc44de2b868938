package io.anvilvalve.host

import arrow.core.left
import arrow.core.right
import io.anvilvalve.api.log.KeptReply
import io.anvilvalve.api.port.BackendFault
import io.anvilvalve.api.port.ServiceReply
import io.anvilvalve.api.result.Executed
import io.anvilvalve.core.HostEffect
import io.anvilvalve.core.HostEvent
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import io.kotest.matchers.string.shouldContain
import java.util.concurrent.CountDownLatch
import java.util.concurrent.TimeUnit

/**
 * Guards against calls to plain services that are altered in transit, lose their reply or are cancelled when their
 * caller disconnects.
 */
class ServiceCallsSpec :
    FunSpec({
        test("a call is forwarded with method, path, query, body and idempotency key, and its reply is returned") {
            TestHost().use { test ->
                test.backends.reply = { ServiceReply(201, "text/x", "made".toByteArray()).right() }
                val answer = post("${test.url}/svc/orders/a%20b/c?x=1&y=%2F", "body", "Idempotency-Key", "k-1")
                answer.statusCode() shouldBe 201
                answer.body() shouldBe "made"
                answer.headers().firstValue("Content-Type").get() shouldContain "text/x"
                val call = test.backends.calls.next()
                call.method shouldBe "POST"
                call.path shouldBe "/a%20b/c?x=1&y=%2F"
                call.body.decodeToString() shouldBe "body"
                call.idempotencyKey shouldBe "k-1"
                val arrived = test.reducer.next<HostEvent.ServiceArrived>().request
                arrived.route.value shouldBe "orders"
                arrived.idempotencyKey shouldBe "k-1"
            }
        }

        test("the digest differs when the path or the body differs") {
            TestHost().use { test ->
                fun digest(path: String, body: String): String {
                    post("${test.url}/svc/orders$path", body)
                    return test.reducer.next<HostEvent.ServiceArrived>().request.digest
                }
                setOf(digest("/a", "x"), digest("/b", "x"), digest("/a", "y")).size shouldBe 3
                digest("/a", "x") shouldBe digest("/a", "x")
            }
        }

        test("a large reply reaches the caller complete and is passed to the reducer as truncated") {
            TestHost().use { test ->
                val large = "x".repeat(ServiceExchange.MAX_KEPT_BYTES + 1)
                test.backends.reply = { ServiceReply(200, "text/plain", large.toByteArray()).right() }
                post("${test.url}/svc/orders", "").body() shouldBe large
                val kept = test.reducer.next<HostEvent.ServiceReplied>().result.getOrNull()!!
                kept.truncated shouldBe true
                kept.body.size shouldBe 0
            }
        }

        test("a stored reply is replayed without a call and marked as replayed") {
            val kept = KeptReply(200, "text/plain", "first".toByteArray())
            val script = { event: HostEvent ->
                if (event is HostEvent.ServiceArrived) {
                    listOf(HostEffect.ReplyService(event.request.id, kept, replayed = true))
                } else {
                    emptyList()
                }
            }
            TestHost(script = script).use { test ->
                val answer = post("${test.url}/svc/orders", "")
                answer.body() shouldBe "first"
                answer.headers().firstValue("Idempotency-Replayed").get() shouldBe "true"
                test.backends.calls.isEmpty() shouldBe true
            }
        }

        test("a failed call is answered with 502 and states that it may have been executed") {
            listOf(Executed.UNKNOWN to "unknown", Executed.NO to "unknown").forEach { (executed, text) ->
                TestHost().use { test ->
                    test.backends.reply = { BackendFault(executed, "closed").left() }
                    val answer = post("${test.url}/svc/orders", "")
                    answer.statusCode() shouldBe 502
                    answer.body() shouldContain """"executed":"$text""""
                }
            }
        }

        test("a call that was sent continues after its caller disconnects, so that its reply is stored") {
            val sent = CountDownLatch(1)
            val reply = CountDownLatch(1)
            TestHost().use { test ->
                test.backends.reply = {
                    sent.countDown()
                    reply.await(30, TimeUnit.SECONDS)
                    ServiceReply(200, "text/plain", "done".toByteArray()).right()
                }
                val socket = connect(test.host.callerPort)
                socket.getOutputStream().write(
                    "POST /svc/orders HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\n".toByteArray(),
                )
                sent.await(30, TimeUnit.SECONDS) shouldBe true
                socket.close()
                test.reducer.next<HostEvent.CallerGone>()
                reply.countDown()
                test.reducer.next<HostEvent.ServiceReplied>().result.isRight() shouldBe true
            }
        }
    })
