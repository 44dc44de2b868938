package io.anvilvalve.core

import io.anvilvalve.api.id.BackendServerId
import io.anvilvalve.api.id.DataCentreId
import io.anvilvalve.api.release.BackendServer
import io.anvilvalve.api.release.Role
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.collections.shouldContainExactly
import io.kotest.matchers.collections.shouldHaveSize
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.minutes

/** Guards against engine memory that is never freed because a cancel or its confirmation was lost. */
class CancelsSpec :
    FunSpec({
        val server = BackendServer(BackendServerId("d0"), "127.0.0.1:1", DataCentreId("dc"), Role.DECODE)
        val other = server.copy(id = BackendServerId("p0"))

        test("a cancel is repeated until it is confirmed") {
            val out = Outbox()
            val confirmed = ArrayList<String>()
            val cancels = Cancels(out) { confirmed += it }
            cancels.start(server, "q1.1")
            out.drain() shouldHaveSize 1
            cancels.answered(server.id, "q1.1", confirmed = false)
            out.drain()
            out.now += Cancels.INITIAL_DELAY
            cancels.tick()
            out.drain() shouldContainExactly listOf(HostEffect.CancelAttempt(server, "q1.1"))
            cancels.answered(server.id, "q1.1", confirmed = true)
            out.now += 1.minutes
            cancels.tick()
            out.drain().shouldBeEmpty()
            confirmed shouldContainExactly listOf("q1.1")
        }

        test("an attempt counts as freed only when every server has confirmed") {
            val out = Outbox()
            val confirmed = ArrayList<String>()
            val cancels = Cancels(out) { confirmed += it }
            cancels.start(server, "q1.1")
            cancels.start(other, "q1.1")
            cancels.answered(server.id, "q1.1", confirmed = true)
            confirmed.shouldBeEmpty()
            cancels.answered(other.id, "q1.1", confirmed = true)
            confirmed shouldContainExactly listOf("q1.1")
        }

        test("retries back off and stop when the server does not confirm within the retry timeout") {
            val out = Outbox()
            val cancels = Cancels(out) { }
            cancels.start(server, "q1.1")
            var sent = out.drain().size
            repeat(9_000) {
                out.now += 100.milliseconds
                cancels.tick()
                sent += out.drain().size
            }
            // One retry every 5 s would send 180 cancels in 15 minutes; retries stop after 10 minutes.
            (sent in 100..130) || error("expected 100 to 130 cancels, but $sent were sent")
            cancels.size == 0 || error("the cancel is still pending after the retry timeout")
        }
    })
