package io.anvilvalve.rules.release

import kotlin.time.Duration
import kotlin.time.Duration.Companion.hours
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Duration.Companion.seconds

/** Factor by which the clocks of two hosts may diverge (1%). */
internal const val CLOCK_DRIFT_FACTOR = 1.01

/**
 * Time limits and intervals of the release rules.
 *
 * @property claimRetention retention period of a claim and its reply.
 * @property claimBatchInterval minimum time between two flushes of the outbox.
 * @property slowLogBatchInterval minimum time between two flushes while the log is slow; also the delay after which
 *   an unanswered append counts as slow.
 * @property claimTimeout longest time that a call waits for its claim or for the reply of the call that it repeats.
 * @property initialBackoff backoff before the first retry of a failed append; doubled with each further retry.
 * @property maxBackoff upper bound on the backoff between retries of an append.
 * @property appendTimeout time after which an unanswered append counts as lost.
 * @property withdrawalJitter upper bound of the random delay before a host appends a withdrawal that it received, so
 *   that the appends of several hosts are spread out.
 * @property freshness maximum age of a successful log read that counts as evidence (V on the design page).
 * @property orderTimeout upper bound on the time that an order is in flight.
 * @property stateReadInterval time between two reads of the state of an engine that has not reached its target.
 * @property auditReadInterval time between two reads of the state of an engine that has reached its target.
 * @property loadInterval minimum time between two loads from the weight store.
 * @property roleChangeTimeout time after which a role change without visible effect no longer counts as in progress.
 */
data class ReleaseTimes(
    val claimRetention: Duration = 24.hours,
    val claimBatchInterval: Duration = 20.milliseconds,
    val slowLogBatchInterval: Duration = 200.milliseconds,
    val claimTimeout: Duration = 3.seconds,
    val initialBackoff: Duration = 100.milliseconds,
    val maxBackoff: Duration = 5.seconds,
    val appendTimeout: Duration = 10.seconds,
    val withdrawalJitter: Duration = 5.seconds,
    val freshness: Duration = 8.seconds,
    val orderTimeout: Duration = 10.seconds,
    val stateReadInterval: Duration = 2.seconds,
    val auditReadInterval: Duration = 5.minutes,
    val loadInterval: Duration = 2.seconds,
    val roleChangeTimeout: Duration = 5.minutes,
)
