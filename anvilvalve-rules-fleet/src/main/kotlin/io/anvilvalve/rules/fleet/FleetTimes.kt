package io.anvilvalve.rules.fleet

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Duration.Companion.seconds

/**
 * Times of the fleet rules; the defaults are those of the design page.
 *
 * @property freshness V: how long evidence of the state in the log counts.
 * @property outageHold how long replies of a majority count after the last log read.
 * @property grantLife D: how long granted tokens may be spent after they were asked for.
 * @property removalMargin added to [freshness] before a confirmed removal takes effect.
 * @property suspectAfter silence after which a member is removed by a host that hears a majority.
 * @property suspectAloneAfter the same for a host that hears no majority.
 * @property wideProbeInterval how often a large fleet is probed whole while evidence from a majority may be needed.
 * @property calmProbeInterval the same while the log can be read and all membership records are confirmed.
 * @property farSuspectAfter [suspectAfter] for members of other data centres of a large fleet.
 * @property slotCheckInterval how often the slots are looked over, which costs a walk over all slots and members.
 * @property slotPatience how long the planned owner of a free slot is waited for.
 * @property retakeAfter how long a host leaves a slot alone that it released, so that a late second copy of the release
 * record cannot take the slot away from it while it refills.
 * @property refundKeep how long the owner of a share accepts returns of a grant.
 * @property askTimeout how long tokens that were asked for are counted on.
 * @property emptyShareRetry how long an owner that had no tokens is not asked again.
 * @property prefetchSpan how far ahead tokens are asked for when an organisation has steady demand; zero for never.
 * @property tick period of `Tick`; requests are refused this much before their deadline.
 */
data class FleetTimes(
    val freshness: Duration = 8.seconds,
    val maxLogOutage: Duration = 30.minutes,
    val grantTtl: Duration = 2.seconds,
    val removalMargin: Duration = 500.milliseconds,
    val probeInterval: Duration = 1.seconds,
    val fullProbeInterval: Duration = 4.seconds,
    val stableFullProbeInterval: Duration = 12.seconds,
    val remoteSuspectAfter: Duration = 30.seconds,
    val suspectAfter: Duration = 10.seconds,
    val suspectAfterWithoutMajority: Duration = 60.seconds,
    val appendRetry: Duration = 2.seconds,
    val appendJitter: Duration = 500.milliseconds,
    val slotCheckInterval: Duration = 250.milliseconds,
    val slotTakeoverDelay: Duration = 5.seconds,
    val slotReacquireDelay: Duration = 2.minutes,
    val grantRetention: Duration = 2.minutes,
    val tokenRequestTimeout: Duration = 250.milliseconds,
    val emptyShareRetryDelay: Duration = 100.milliseconds,
    val prefetchSpan: Duration = 500.milliseconds,
    val tickInterval: Duration = 50.milliseconds,
) {
    /** Time by which no host can still act on evidence or tokens of [lifetime], with clocks 1% apart. */
    internal fun withDrift(lifetime: Duration): Duration = lifetime + lifetime / DRIFT_DIVISOR

    internal val removalWait: Duration get() = withDrift(freshness) + removalMargin
    internal val unconfirmedRemovalWait: Duration get() = withDrift(maxLogOutage + freshness) + removalMargin

    private companion object {
        const val DRIFT_DIVISOR = 100
    }
}
