package io.anvilvalve.cli

import com.sun.net.httpserver.HttpServer
import io.anvilvalve.net.HttpClients
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import java.net.InetSocketAddress

/** Guards against an answer that fills the memory of the command, and against a partial one that is used. */
class HttpOperatorApiSpec :
    FunSpec({
        val status = """{"host":"h1","incarnation":"i","release":1,"applied_offset":1,"current":true}"""

        class Case(val name: String, val body: String, val accepted: Boolean)

        listOf(
            Case("complete", status, accepted = true),
            Case("within the limit", status.padEnd(HttpOperatorApi.MAX_ANSWER_BYTES.toInt()), accepted = true),
            Case("over the limit", status.padEnd(HttpOperatorApi.MAX_ANSWER_BYTES.toInt() + 1), accepted = false),
            Case("partial", status.dropLast(1), accepted = false),
        ).forEach { case ->
            test("a status that is ${case.name} is ${if (case.accepted) "accepted" else "refused"}") {
                val server = HttpServer.create(InetSocketAddress("127.0.0.1", 0), 0)
                server.createContext("/") { exchange ->
                    exchange.sendResponseHeaders(200, 0)
                    exchange.responseBody.write(case.body.toByteArray())
                    exchange.close()
                }
                server.start()
                try {
                    val api = HttpOperatorApi(HttpClients.create(), "token")
                    api.status("127.0.0.1:${server.address.port}").isRight() shouldBe case.accepted
                } finally {
                    server.stop(0)
                }
            }
        }
    })
