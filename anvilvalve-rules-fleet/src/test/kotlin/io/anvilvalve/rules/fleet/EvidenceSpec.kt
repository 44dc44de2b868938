package io.anvilvalve.rules.fleet

import io.anvilvalve.api.id.DataCentreId
import io.anvilvalve.api.id.HostId
import io.anvilvalve.api.id.Incarnation
import io.anvilvalve.api.id.LogOffset
import io.anvilvalve.api.id.RegionId
import io.anvilvalve.api.log.LogRecord
import io.anvilvalve.api.log.Member
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import kotlin.time.Duration
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Duration.Companion.seconds

/**
 * Guards against hosts that stay current although they neither read the log nor have replies from a majority.
 *
 * Also guards against late join records that free slots or restore a removed member, and against early removals.
 */
class EvidenceSpec :
    FunSpec({
        val times = FleetTimes()

        fun member(name: String, address: String = name) =
            Member(HostId(name), Incarnation("$name#1"), address, DataCentreId("d"), RegionId("r"))

        class Fixture {
            val view = Membership(Incarnation("a#1"), times)
            val evidence = Evidence(Incarnation("a#1"), times, view)

            init {
                listOf("a", "b", "c").forEachIndexed { offset, name ->
                    view.apply(LogOffset(offset.toLong()), LogRecord.HostJoined(member(name)), Duration.ZERO)
                }
                evidence.tailReached(Duration.ZERO)
            }
        }

        test("a reply counts from the time its probe was sent, however late it arrives") {
            Fixture().run {
                evidence.probeSent(1, 2.seconds)
                evidence.probeAnswered(Incarnation("b#1"), 1)
                evidence.validUntil(9.seconds) shouldBe 10.seconds
            }
        }

        test("without the log, replies keep a host current only up to the maximum log outage") {
            Fixture().run {
                val late = times.maxLogOutage - 1.seconds
                evidence.probeSent(1, late)
                evidence.probeAnswered(Incarnation("b#1"), 1)
                evidence.validUntil(late) shouldBe times.maxLogOutage
            }
        }

        test("replies are no evidence while one of them reports a newer membership") {
            Fixture().run {
                evidence.probeSent(1, 20.seconds)
                evidence.probeAnswered(Incarnation("b#1"), 1)
                evidence.membershipReported(LogOffset(3))
                evidence.validUntil(20.seconds) shouldBe times.freshness
            }
        }

        test("half of the members do not form a majority") {
            Fixture().run {
                view.apply(LogOffset(3), LogRecord.HostJoined(member("d")), Duration.ZERO)
                evidence.probeSent(1, 20.seconds)
                evidence.probeAnswered(Incarnation("b#1"), 1)
                evidence.validUntil(20.seconds) shouldBe times.freshness
            }
        }

        test("a late join record of an older process does not free the slots of the running one at once") {
            Fixture().run {
                val old = member("x", address = "b")
                view.apply(LogOffset(3), LogRecord.HostJoined(old), 1.seconds) shouldBe emptyList()
                view.isBeingRemoved(Incarnation("b#1")) shouldBe true
            }
        }

        test("a copy of a join record does not bring a removed incarnation back") {
            Fixture().run {
                view.apply(LogOffset(3), LogRecord.HostRemoved(Incarnation("b#1"), Incarnation("a#1")), 1.seconds)
                view.apply(LogOffset(4), LogRecord.HostJoined(member("b")), 2.seconds)
                (Incarnation("b#1") in view) shouldBe false
            }
        }

        test("without a majority, a removal waits for the maximum log outage") {
            Fixture().run {
                view.apply(LogOffset(3), LogRecord.HostRemoved(Incarnation("b#1"), Incarnation("a#1")), Duration.ZERO)
                view.advance(30.minutes) shouldBe emptyList()
                view.advance(31.minutes).map { it.host.value } shouldBe listOf("b")
            }
        }
    })
