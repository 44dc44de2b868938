package io.anvilvalve.core

import io.anvilvalve.api.id.ModelId
import io.anvilvalve.api.id.RequestId
import io.anvilvalve.api.peer.WorkClass
import io.anvilvalve.api.release.Release
import io.anvilvalve.api.result.ResultCode

/** Entry point for callers' requests: refuses those that fail a check and passes on the others. */
internal class Intake(
    private val out: Outbox,
    private val admission: Admission,
    private val drain: Drain,
    private val release: () -> Release,
) {
    /** Passes the request to [accept] if it passes all checks, and refuses it otherwise. */
    fun arrived(request: ModelRequest, accept: (RunningRequest) -> Unit) {
        when (val decision = refusal() ?: admission.check(request, release())) {
            is Admission.Decision.Refuse -> refuse(request.id, decision.code)

            is Admission.Decision.Accept ->
                accept(RunningRequest(request, checkNotNull(decision.organisation), out.now))
        }
    }

    /** Passes the call to [accept] if it passes all checks, and refuses it otherwise. */
    fun arrived(request: ServiceRequest, accept: (RunningCall) -> Unit) {
        val route = release().routes[request.route]
        val decision = refusal() ?: if (route == null) {
            Admission.Decision.Refuse(ResultCode.UNKNOWN_ROUTE)
        } else {
            admission.check(request, route)
        }
        when (decision) {
            is Admission.Decision.Refuse -> refuse(request.id, decision.code)

            is Admission.Decision.Accept ->
                accept(RunningCall(request, checkNotNull(route), decision.organisation, out.now))
        }
    }

    private fun refusal(): Admission.Decision? = when {
        drain.refusesNewRequests -> Admission.Decision.Refuse(ResultCode.DRAINING)
        release().number.value == 0L -> Admission.Decision.Refuse(ResultCode.NOT_READY)
        else -> null
    }

    /** Refuses the request; the metrics contain no names from it, because callers can choose these freely. */
    private fun refuse(id: RequestId, code: ResultCode) {
        out.emit(HostEffect.Refuse(id, code, if (code.httpStatus == UNAVAILABLE) RETRY_AFTER_MILLIS else 0))
        out.emit(HostEffect.Measure(RequestSummary(null, UNKNOWN, WorkClass.INTERACTIVE, code)))
    }

    private companion object {
        const val UNAVAILABLE = 503
        const val RETRY_AFTER_MILLIS = 1_000L
        val UNKNOWN = ModelId("unknown")
    }
}
