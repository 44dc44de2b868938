package io.anvilvalve.rules.routing

import io.anvilvalve.api.log.Member
import kotlin.random.Random
import kotlin.time.Duration

/**
 * Whether requests of a large fleet are within the quotas of their organisations.
 *
 * The coordinator that places the requests of all hosts counts each of them when it is asked, so that it knows what all
 * hosts have admitted. A host that gets no answer knows only older sums. It then admits as many requests as cannot exceed
 * the quota even in a surge, selected at random.
 *
 * @param isPlacer whether this host places the requests of the fleet.
 */
internal class QuotaConfirmations(
    private val quotas: SharedQuotas,
    private val coordinators: Coordinators,
    private val random: Random,
    private val isPlacer: () -> Boolean,
) {
    /** Whether this host knows the usage of all hosts as well as any other. */
    val decidesHere: Boolean get() = coordinators.isDirect || isPlacer()

    /** The coordinator to ask if none has answered in the usual time; null if none is heard. */
    val coordinator: Member? get() = coordinators.firstHeard

    /** Whether [request] might exceed the quota together with what other hosts admit at the same time. */
    fun isNeeded(request: LiveRequest): Boolean {
        val reservation = unconfirmed(request) ?: return false
        return quotas.unconfirmedShare(reservation) < 1.0
    }

    /** Decides on [request] without a coordinator: null if it may be sent, otherwise the time to wait before a retry. */
    fun waitHere(request: LiveRequest): Duration? {
        val reservation = unconfirmed(request) ?: return null
        request.isQuotaConfirmed = random.nextDouble() < quotas.unconfirmedShare(reservation)
        return if (request.isQuotaConfirmed) null else RoutingTimes.SUMMARY_INTERVAL
    }

    private fun unconfirmed(request: LiveRequest): QuotaReservation? =
        request.reservation?.takeUnless { request.isQuotaConfirmed || !request.isUntouched || decidesHere }
}
