package io.anvilvalve.rules.release

import kotlin.time.Duration
import kotlin.time.Duration.Companion.hours
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Duration.Companion.seconds

/** Clocks of two hosts drift apart by at most 1%. */
internal const val CLOCK_DRIFT_FACTOR = 1.01

/**
 * Times of the release rules.
 *
 * @property claimRetention time for which a claim and its reply are kept.
 * @property claimBatchInterval time between two appends of claims.
 * @property slowLogBatchInterval time between two appends of claims while the log is slow.
 * @property claimTimeout time that a call waits for its claim or for the reply of the call that it repeats.
 * @property initialBackoff wait before the first repeat of a failed append; doubled for each further one.
 * @property maxBackoff upper bound on the wait between repeats of an append.
 * @property appendTimeout time after which an append without an answer counts as lost.
 * @property withdrawalJitter time over which hosts spread the append of a withdrawal that they heard of from peers.
 * @property freshness age V up to which a successful log read counts as evidence.
 * @property orderTimeout upper bound on the time that an order is under way.
 * @property stateReadInterval time between two reads of the state of an engine that has not reached its target.
 * @property auditReadInterval time between two reads of the state of an engine that has reached its target.
 * @property loadInterval time between two loads from the weight store.
 * @property roleChangeTimeout time after which a role change that shows no effect no longer counts as under way.
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
