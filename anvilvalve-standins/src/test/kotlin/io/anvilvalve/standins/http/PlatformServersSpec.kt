package io.anvilvalve.standins.http

import io.anvilvalve.api.id.DataCentreId
import io.anvilvalve.api.id.HostId
import io.anvilvalve.api.id.RegionId
import io.anvilvalve.api.port.LiveHost
import io.anvilvalve.standins.FakeLiveHostList
import io.anvilvalve.standins.FakeLogService
import io.anvilvalve.standins.FakePlainService
import io.anvilvalve.standins.LogServiceConfig
import io.kotest.assertions.throwables.shouldThrow
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import java.io.IOException
import java.net.URI
import java.net.http.HttpClient
import java.net.http.HttpRequest
import java.net.http.HttpResponse
import kotlin.time.Duration

/** Guards against stand-in servers that deviate from the published protocols of the platform's services. */
class PlatformServersSpec :
    FunSpec({
        val client = HttpClient.newHttpClient()

        fun send(server: StandinServer, path: String, body: String? = null, key: String = "k"): HttpResponse<String> {
            val builder = HttpRequest.newBuilder(URI("http://${server.address}$path")).header("Idempotency-Key", key)
            val request = if (body == null) builder else builder.POST(HttpRequest.BodyPublishers.ofString(body))
            return client.send(request.build(), HttpResponse.BodyHandlers.ofString())
        }

        test("the log service follows its protocol, faults included") {
            val log = FakeLogService(LogServiceConfig(appendBurst = 4, appendsPerSecond = 0))
            serveLog(log).use { server ->
                val append = """{"records":["AQ==","Ag=="]}"""
                send(server, "/v1/log/append", append).body() shouldBe """{"first_offset":0}"""
                log.faults.lostAnswers.next()
                shouldThrow<IOException> { send(server, "/v1/log/append", append) }
                send(server, "/v1/log/read?from=2&max=1&wait_ms=0").body() shouldBe
                    """{"first_retained":0,"end":4,"records":[{"offset":2,"data":"AQ=="}]}"""
                log.truncateBefore(log.endOffset)
                send(server, "/v1/log/read?from=2").body() shouldBe """{"first_retained":4,"end":4,"records":[]}"""
                log.faults.down = true
                send(server, "/v1/log/append", append).statusCode() shouldBe 503
                send(server, "/v1/log/read?from=4").statusCode() shouldBe 503
                log.faults.down = false
                repeat(2) { send(server, "/v1/log/append", append) }
                send(server, "/v1/log/append", append).statusCode() shouldBe 429
                send(server, "/v1/log/append", """{"records":["?"]}""").statusCode() shouldBe 400
            }
        }

        test("the live list follows its protocol and reports an outage with 503") {
            val list = FakeLiveHostList(lag = Duration.ZERO)
            list.put(LiveHost(HostId("a"), "127.0.0.1", 7, DataCentreId("d"), RegionId("r"), leaving = true))
            serveLiveList(list).use { server ->
                send(server, "/v1/hosts").body() shouldBe
                    """{"hosts":[{"id":"a","address":"127.0.0.1","peer_port":7,""" +
                    """"data_centre":"d","region":"r","state":"leaving"}]}"""
                list.down = true
                send(server, "/v1/hosts").statusCode() shouldBe 503
            }
        }

        test("a plain service echoes its calls and counts a run whose answer is lost") {
            val service = FakePlainService()
            servePlainService(service).use { server ->
                send(server, "/pickups/4?day=2", "{}").body() shouldBe
                    """{"method":"POST","path":"/pickups/4?day=2","bytes":2,"run":1}"""
                service.faults.lostAnswers.next()
                shouldThrow<IOException> { send(server, "/pickups", "{}") }
                service.runs("k") shouldBe 2
            }
        }
    })
