package io.anvilvalve.rules.fleet

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Duration.Companion.seconds

/**
 * Time limits and intervals of the fleet rules; the defaults are those of the design page.
 *
 * @property freshness how long evidence of the log state counts (V on the design page).
 * @property maxLogOutage how long after the last log read the replies of a majority count as evidence.
 * @property grantTtl how long after a token request the tokens granted for it may be spent (D on the design page).
 * @property removalMargin added to [freshness] and its clock drift before a confirmed removal takes effect.
 * @property probeInterval time between two rounds of probes.
 * @property fullProbeInterval time between probes of all members of a large fleet while evidence from a majority may be
 * needed; the rounds in between probe only the data centre of this host.
 * @property stableFullProbeInterval [fullProbeInterval] while the log can be read and all membership records are
 * confirmed.
 * @property remoteSuspectAfter minimum silence before removal of a member in another data centre of a large fleet.
 * @property suspectAfter silence after which a host with replies from a majority removes a member.
 * @property suspectAfterWithoutMajority [suspectAfter] for a host without replies from a majority.
 * @property appendRetry minimum time before a membership or slot record is appended again.
 * @property appendJitter upper bound of the random delay that spreads the appends of the hosts.
 * @property slotCheckInterval time between two checks for slots to acquire or release; each check visits all slots and
 * members.
 * @property slotTakeoverDelay how long a free slot is left to its planned owner before other hosts acquire it; doubled
 * for hosts that already own their quota.
 * @property slotReacquireDelay how long a host does not reacquire a slot after releasing it. Otherwise a late second
 * copy of the release record could free the slot while the host refills it.
 * @property grantRetention how long the owner of a share accepts returns of a grant.
 * @property tokenRequestTimeout how long requested tokens count as pending.
 * @property emptyShareRetryDelay how long no tokens are requested from a share after a grant smaller than the request.
 * @property prefetchSpan duration of steady demand for which tokens are requested in advance; zero disables this.
 * @property tickInterval period of `Tick`; queued requests are refused this long before their deadline.
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
    /** Time after which no host acts on evidence or tokens of [lifetime], if clock rates differ by up to 1%. */
    internal fun withDrift(lifetime: Duration): Duration = lifetime + lifetime / DRIFT_DIVISOR

    internal val removalWait: Duration get() = withDrift(freshness) + removalMargin
    internal val unconfirmedRemovalWait: Duration get() = withDrift(maxLogOutage + freshness) + removalMargin

    private companion object {
        const val DRIFT_DIVISOR = 100
    }
}
