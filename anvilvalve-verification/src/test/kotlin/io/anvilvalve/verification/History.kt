package io.anvilvalve.verification

import io.anvilvalve.api.id.BackendServerId
import io.anvilvalve.api.id.HostId
import io.anvilvalve.api.id.Incarnation
import io.anvilvalve.api.id.KeyHash
import io.anvilvalve.api.id.OrganisationId
import io.anvilvalve.api.id.ReleaseNumber
import io.anvilvalve.api.id.RequestId
import io.anvilvalve.api.result.Executed
import io.anvilvalve.api.result.ResultCode
import kotlin.time.Duration

/** Records what callers and operators observed, as input of [Invariants]. */
internal class History {
    /** One request and all answers that its caller received. */
    class Entry(
        val id: RequestId,
        val host: HostId,
        val organisation: OrganisationId?,
        val key: KeyHash?,
        val arrivedAt: Duration,
        val expectedTokens: Int,
        val promptTokens: Int,
        val callKey: String? = null,
    ) {
        val answers = ArrayList<Answer>()
        var deliveredTokens = 0
        var startedAt: Duration? = null
        var goneAt: Duration? = null
        var lostWithHost = false
    }

    /** End of a request as the caller saw it; [code] is null for a complete answer. */
    data class Answer(val code: ResultCode?, val executed: Executed?, val at: Duration, val body: String? = null)

    /** A release that came into force on a host at time [at]. */
    data class AppliedRelease(val incarnation: String, val release: ReleaseNumber, val servers: Int, val at: Duration)

    val entries = LinkedHashMap<RequestId, Entry>()
    val releases = ArrayList<AppliedRelease>()
    val withdrawnKeys = HashMap<KeyHash, Duration>()
    val leavingServers = HashMap<BackendServerId, Duration>()
    val tokenGaps = ArrayList<RequestId>()
    val drainTimeouts = ArrayList<Incarnation>()
}
