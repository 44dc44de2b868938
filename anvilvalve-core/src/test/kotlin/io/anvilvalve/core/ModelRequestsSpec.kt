package io.anvilvalve.core

import arrow.core.left
import io.anvilvalve.api.PoolScope
import io.anvilvalve.api.id.BackendServerId
import io.anvilvalve.api.id.DataCentreId
import io.anvilvalve.api.id.HostId
import io.anvilvalve.api.id.Incarnation
import io.anvilvalve.api.id.KeyHash
import io.anvilvalve.api.id.ModelId
import io.anvilvalve.api.id.OrganisationId
import io.anvilvalve.api.id.RegionId
import io.anvilvalve.api.id.RequestId
import io.anvilvalve.api.log.Member
import io.anvilvalve.api.peer.PeerMessage
import io.anvilvalve.api.peer.PlacementOutcome
import io.anvilvalve.api.peer.WorkClass
import io.anvilvalve.api.port.BackendFault
import io.anvilvalve.api.release.BackendServer
import io.anvilvalve.api.release.Role
import io.anvilvalve.api.result.Executed
import io.anvilvalve.api.result.ResultCode
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.collections.shouldContain
import io.kotest.matchers.shouldBe
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Guards against wrong result codes and crashes when placements are refused or pool owners change, and against starts
 * on a host that is not current.
 */
class ModelRequestsSpec :
    FunSpec({
        test("a refusal of a second attempt never says that the request did not run") {
            val host = Fixture()
            host.accept()
            host.place(attempt = 1)
            host.requests.prefillEnded(ID, 1, BackendFault(Executed.UNKNOWN, "died").left())
            host.requests.placement(ID, 2, PlacementOutcome.Refused(ResultCode.DEADLINE_UNREACHABLE), SELF.host)
            host.refused.shouldBeEmpty()
            host.ended shouldBe listOf(ResultCode.BACKEND_TIMEOUT)
        }

        test("a request that its data centre cannot place is submitted to the next one if time is left") {
            val host = Fixture(PoolScope.DATA_CENTRE, member("far", "dc-2"))
            host.accept()
            host.requests.placement(ID, 1, PlacementOutcome.Refused(ResultCode.NO_BACKEND_SERVER), SELF.host)
            host.sent.filterIsInstance<Pair<HostId, PeerMessage.Submit>>().map { it.first } shouldContain HostId("far")
            host.requests.placement(ID, 2, PlacementOutcome.Refused(ResultCode.NO_BACKEND_SERVER), HostId("far"))
            host.refused shouldBe listOf(ResultCode.NO_BACKEND_SERVER)
        }

        test("a request is not submitted to the next data centre when its first-token budget is nearly used up") {
            val host = Fixture(PoolScope.DATA_CENTRE, member("far", "dc-2"))
            host.accept()
            host.out.now += 1_300.milliseconds
            host.requests.placement(ID, 1, PlacementOutcome.Refused(ResultCode.DEADLINE_UNREACHABLE), SELF.host)
            host.refused shouldBe listOf(ResultCode.DEADLINE_UNREACHABLE)
        }

        test("a host that becomes the owner of its own waiting requests may refuse them at once") {
            // A refusal during the loop removed a request and caused a ConcurrentModificationException.
            val other = member("other", "dc-1")
            val host = Fixture(PoolScope.FLEET, other)
            host.model = host.modelOwnedBy(other.host)
            host.refuseLocalSubmits = true
            repeat(3) { host.accept(RequestId("q$it")) }
            host.out.now += 10.seconds
            host.pools.refresh(host.out.now) shouldBe true
            host.requests.ownersChanged()
            host.refused.size shouldBe 3
        }

        test("a host that is not current starts no placed request") {
            val host = Fixture()
            host.accept()
            host.current = false
            host.place(attempt = 1)
            host.refused shouldBe listOf(ResultCode.NOT_CURRENT)
        }
    })

private val ID = RequestId("q")
private val SELF = member("self", "dc-1")

private fun member(name: String, centre: String) =
    Member(HostId(name), Incarnation("$name#1"), "127.0.0.1:1", DataCentreId(centre), RegionId("r"))

/** [ModelRequests] of one host, with host operations that record the sent messages. */
private class Fixture(scope: PoolScope = PoolScope.FLEET, vararg others: Member) : ModelRequests.HostOperations {
    val out = Outbox()
    val sent = ArrayList<Pair<HostId, PeerMessage>>()
    val pools = PoolOwners(SELF, scope).apply {
        membersChanged(listOf(SELF) + others, Duration.ZERO)
        refresh(Duration.ZERO)
    }
    val inFlight = InFlightTable { _, _ -> }
    val requests = ModelRequests(SELF, out, pools, Cancels(out, inFlight::remove), inFlight, this)
    var model = ModelId("m")
    var current = true
    var refuseLocalSubmits = false
    val refused: List<ResultCode> get() = effects().filterIsInstance<HostEffect.Refuse>().map { it.code }
    val ended: List<ResultCode> get() = effects().filterIsInstance<HostEffect.FailAnswer>().map { it.code }
    private val seen = ArrayList<HostEffect>()

    private fun effects(): List<HostEffect> = seen.apply { addAll(out.drain()) }

    fun accept(id: RequestId = ID) {
        val request = ModelRequest(id, KeyHash.of("k"), model, 100, 50, WorkClass.INTERACTIVE)
        requests.accept(RunningRequest(request, OrganisationId("o"), out.now))
    }

    fun place(attempt: Int) = requests.placement(
        ID,
        attempt,
        PlacementOutcome.Placed(BackendServerId("p0"), BackendServerId("d0")),
        SELF.host,
    )

    fun modelOwnedBy(host: HostId): ModelId =
        generateSequence(0) { it + 1 }.map { ModelId("m$it") }.first { pools.owner(it, null) == host }

    override fun server(id: BackendServerId) =
        BackendServer(id, "127.0.0.1:1", DataCentreId("dc-1"), if (id.value == "p0") Role.PREFILL else Role.DECODE)

    override fun admit(running: RunningRequest, deadline: Duration) = requests.admitted(running.request.id)

    override fun settle(id: RequestId, used: Long) = Unit

    override fun isCurrent() = current

    override fun sendToOwner(owner: HostId, message: PeerMessage) {
        sent += owner to message
        if (refuseLocalSubmits && owner == SELF.host && message is PeerMessage.Submit) {
            val refusal = PlacementOutcome.Refused(ResultCode.QUEUE_FULL)
            requests.placement(message.item.id, message.attempt, refusal, SELF.host)
        }
    }
}
