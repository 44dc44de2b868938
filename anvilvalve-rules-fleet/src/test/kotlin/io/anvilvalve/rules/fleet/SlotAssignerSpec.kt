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
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** Guards against two hosts that refill the same slot, which late copies of slot records can cause. */
class SlotAssignerSpec :
    FunSpec({
        val times = FleetTimes()
        val self = Member(HostId("a"), Incarnation("a#1"), "a", DataCentreId("d"), RegionId("r"))
        val other = self.copy(host = HostId("b"), incarnation = Incarnation("b#1"), address = "b")

        class Fixture(members: List<Member>, slots: Int = 2) {
            val view = Membership(self.incarnation, times)
            val table = SlotTable(slots)
            val assigner = SlotAssigner(self, table, view, times, Random(1))

            init {
                members.forEachIndexed { offset, member ->
                    view.apply(LogOffset(offset.toLong()), LogRecord.HostJoined(member), Duration.ZERO)
                }
            }

            fun assign(owner: Member, previous: List<Incarnation?>, now: Duration) {
                val slots = previous.indices.toList()
                table.assign(LogRecord.SlotsAssigned(slots, owner.incarnation, previous), view)
                assigner.tableChanged(now)
            }

            /** Releases all slots and applies the release record. */
            fun release(now: Duration) {
                val record = assigner.releaseAll(now, append = true) as LogRecord.SlotsReleased
                assigner.tableChanged(now)
                assigner.refilled shouldBe emptySet()
                table.release(record)
                assigner.tableChanged(now)
            }

            fun nextRecord(from: Duration): LogRecord? = assigner.next(from) ?: assigner.next(from + times.appendRetry)
        }

        test("a slot is not refilled once its release has been appended") {
            Fixture(listOf(self)).run {
                assign(self, listOf(null, null), now = 1.seconds)
                assigner.refilled shouldBe setOf(0, 1)
                release(2.seconds)
            }
        }

        test("a released slot is reacquired only when no late copy of the release can arrive") {
            Fixture(listOf(self)).run {
                assign(self, listOf(null, null), now = 1.seconds)
                release(2.seconds)
                nextRecord(20.seconds) shouldBe null
                val record = nextRecord(3.seconds + times.slotReacquireDelay)
                record shouldBe LogRecord.SlotsAssigned(listOf(0, 1), self.incarnation, listOf(null, null))
            }
        }

        test("a late copy of an assignment does not make the host refill a slot that it released") {
            Fixture(listOf(self)).run {
                assign(self, listOf(null, null), now = 1.seconds)
                release(2.seconds)
                assign(self, listOf(null, null), now = 3.seconds)
                assigner.refilled shouldBe emptySet()
                nextRecord(4.seconds) shouldBe LogRecord.SlotsReleased(listOf(0, 1), self.incarnation)
            }
        }

        test("a member keeps its slots against an assignment that names it as the previous owner") {
            Fixture(listOf(self, other)).run {
                assign(other, listOf(null), now = 1.seconds)
                assign(self, listOf(other.incarnation), now = 2.seconds)
                table.owner(0) shouldBe other.incarnation
            }
        }

        test("an assignment by a writer that saw another owner is ignored") {
            Fixture(listOf(self, other)).run {
                assign(other, listOf(null), now = 1.seconds)
                assign(self, listOf(null), now = 2.seconds)
                table.owner(0) shouldBe other.incarnation
            }
        }

        test("a small difference in slot counts moves no slot") {
            Fixture(listOf(self, other), slots = 8).run {
                assign(self, List(5) { null }, now = 1.seconds)
                table.assign(LogRecord.SlotsAssigned(listOf(5, 6, 7), other.incarnation, List(3) { null }), view)
                nextRecord(4.seconds) shouldBe null
            }
        }

        test("a new member gets slots from members that own more than an equal number") {
            Fixture(listOf(self, other), slots = 8).run {
                assign(self, List(8) { null }, now = 1.seconds)
                (nextRecord(4.seconds) as LogRecord.SlotsReleased).slots.size shouldBe 4
            }
        }
    })
