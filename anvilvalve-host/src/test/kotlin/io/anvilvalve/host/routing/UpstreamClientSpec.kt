package io.anvilvalve.host.routing

import io.anvilvalve.api.id.BackendServerId
import io.anvilvalve.api.id.DataCentreId
import io.anvilvalve.api.routing.Backend
import io.anvilvalve.api.routing.ServiceId
import io.anvilvalve.net.SingleUseCalls
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import kotlin.time.Duration.Companion.seconds

/** Guards against bytes of an answer that become a second request to the engine that holds a handle. */
class UpstreamClientSpec :
    FunSpec({
        val server = Backend(BackendServerId("b"), ServiceId("s"), "127.0.0.1:1", DataCentreId("dc"), slots = 1)
        val upstream = UpstreamClient(SingleUseCalls(1.seconds), PlainDialect())

        class Case(val handle: String, val released: Boolean)

        listOf(
            Case("3fa09c41b7d5", released = true),
            Case("a-b_c.d", released = true),
            Case("a b", released = false),
            Case("a HTTP/1.1\r\n\r\nGET /pay", released = false),
            Case("a\u0000", released = false),
            Case("\u00e9", released = false),
        ).forEach { case ->
            test("the handle '${case.handle}' is ${if (case.released) "" else "not "}sent back") {
                (upstream.releaseHandle(server, case.handle) != null) shouldBe case.released
            }
        }
    })
