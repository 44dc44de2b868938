package io.anvilvalve.rules.release

import io.anvilvalve.api.id.ClaimId
import io.anvilvalve.api.id.DataCentreId
import io.anvilvalve.api.id.Incarnation
import io.anvilvalve.api.id.KeyHash
import io.anvilvalve.api.id.LogOffset
import io.anvilvalve.api.id.NoteId
import io.anvilvalve.api.id.OrganisationId
import io.anvilvalve.api.id.ReleaseNumber
import io.anvilvalve.api.id.RequestId
import io.anvilvalve.api.id.RouteId
import io.anvilvalve.api.log.KeptReply
import io.anvilvalve.api.log.LogRecord
import io.anvilvalve.api.release.Change
import io.anvilvalve.api.release.Key
import io.anvilvalve.api.release.Organisation
import io.anvilvalve.api.release.ReleaseNote
import io.anvilvalve.api.result.ResultCode
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.shouldBe
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** Guards the main paths: an accepted note, a withdrawn key, a restored snapshot, a winning claim and its replay. */
class ReleaseRulesSpec :
    FunSpec({
        val organisation = OrganisationId("acme")
        val hash = KeyHash.of("secret")
        val put = ReleaseNote(
            NoteId("n1"),
            ReleaseNumber(0),
            "operator",
            listOf(
                Change.PutOrganisation(Organisation(organisation, 100, 10_000)),
                Change.PutKey(Key(hash, organisation)),
            ),
        )

        fun rules() = ReleaseRules(Incarnation("a#1"), DataCentreId("dc1"))

        fun ReleaseRules.apply(offset: Long, record: LogRecord) =
            reduce(ReleaseEvent.RecordApplied(LogOffset(offset), record), Duration.ZERO)

        test("a note takes effect once, and a duplicate append of it changes nothing") {
            val rules = rules()
            rules.apply(0, LogRecord.Note(put)) shouldBe listOf(ReleaseEffect.ReleaseChanged(rules.release))
            rules.apply(1, LogRecord.Note(put)).shouldBeEmpty()
            rules.release.number shouldBe ReleaseNumber(1)
            rules.organisationOf(hash) shouldBe organisation
        }

        test("a withdrawn key stays withdrawn when a later note adds it again") {
            val rules = rules()
            rules.apply(0, LogRecord.Note(put))
            rules.apply(1, LogRecord.KeyWithdrawn(hash)) shouldBe listOf(ReleaseEffect.KeyWithdrawn(hash, inLog = true))
            val again = Change.PutKey(Key(hash, organisation))
            rules.apply(2, LogRecord.Note(ReleaseNote(NoteId("n2"), ReleaseNumber(1), "operator", listOf(again))))
            rules.release.number shouldBe ReleaseNumber(2)
            rules.organisationOf(hash) shouldBe null
        }

        test("restoring a snapshot revokes only the withdrawn keys that were valid on this host") {
            val rules = rules()
            rules.apply(0, LogRecord.Note(put))
            val state = ReleaseSnapshot(withdrawnKeys = setOf(hash, KeyHash.of("old")))
            val effects = rules.reduce(ReleaseEvent.Restored(LogOffset(9), state), Duration.ZERO)
            effects.filterIsInstance<ReleaseEffect.KeyWithdrawn>().map { it.hash } shouldBe listOf(hash)
            rules.organisationOf(hash) shouldBe null
        }

        test("a call runs after its claim was read back, and a repeated call gets the stored reply") {
            val rules = rules()
            val request = ClaimRequest(organisation, RouteId("pickup"), "key-1", "digest")
            rules.reduce(ReleaseEvent.Tick(wallMillis = 1), Duration.ZERO)
            val append = rules.reduce(ReleaseEvent.ClaimRequested(RequestId("r1"), request), 1.seconds)
                .filterIsInstance<ReleaseEffect.Append>().single()
            rules.apply(0, append.records.single()) shouldBe listOf(ReleaseEffect.ClaimWon(RequestId("r1")))
            val reply = KeptReply(200, "text/plain", byteArrayOf(1))
            val outcome = rules.reduce(ReleaseEvent.ClaimReplied(RequestId("r1"), reply), 2.seconds)
                .filterIsInstance<ReleaseEffect.Append>().single()
            rules.apply(1, outcome.records.single())
            rules.reduce(ReleaseEvent.ClaimRequested(RequestId("r2"), request), 3.seconds) shouldBe
                listOf(ReleaseEffect.ClaimReplayed(RequestId("r2"), reply))
        }

        test("a claim that wins after its request was answered is abandoned, so that the call is not blocked") {
            val rules = rules()
            val request = ClaimRequest(organisation, RouteId("pickup"), "key-1", "digest")
            rules.reduce(ReleaseEvent.Tick(wallMillis = 1), Duration.ZERO)
            val own = rules.reduce(ReleaseEvent.ClaimRequested(RequestId("r1"), request), 1.seconds)
                .filterIsInstance<ReleaseEffect.Append>().single().records.single() as LogRecord.Claims
            val other = own.claims.single().copy(id = ClaimId("b#1/0"), owner = Incarnation("b#1"))
            rules.apply(0, LogRecord.Claims(listOf(other)))
            rules.apply(1, own)
            rules.reduce(ReleaseEvent.Tick(wallMillis = 1), 9.seconds) shouldBe
                listOf(ReleaseEffect.ClaimRefused(RequestId("r1"), ResultCode.CALL_IN_PROGRESS))
            rules.apply(2, LogRecord.ClaimAbandoned(other.id))
            rules.reduce(ReleaseEvent.RecordApplied(LogOffset(3), own), 10.seconds) shouldBe
                listOf(ReleaseEffect.Append(listOf(LogRecord.ClaimAbandoned(own.claims.single().id))))
        }
    })
