package io.anvilvalve.standins.http

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import kotlinx.coroutines.delay
import java.net.URI
import java.net.http.HttpClient
import java.net.http.HttpRequest
import java.net.http.HttpResponse
import kotlin.time.Duration.Companion.microseconds
import kotlin.time.Duration.Companion.milliseconds

class StandinServerSpec :
    FunSpec({
        // Guards against the check for closed connections consuming the first byte of the next request.
        test("consecutive requests on one connection arrive complete") {
            val client = HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build()
            val routes = StandinServer(requestedPort = 0, closeCheckInterval = 1.microseconds) { server ->
                post("/") { ctx ->
                    server.handleAsync(ctx) {
                        delay(1.milliseconds)
                        it.result(it.body())
                    }
                }
            }
            routes.use { server ->
                repeat(500) { number ->
                    val request = HttpRequest.newBuilder(URI("http://${server.address}/"))
                        .POST(HttpRequest.BodyPublishers.ofString("$number")).build()
                    client.send(request, HttpResponse.BodyHandlers.ofString()).body() shouldBe "$number"
                }
            }
        }
    })
