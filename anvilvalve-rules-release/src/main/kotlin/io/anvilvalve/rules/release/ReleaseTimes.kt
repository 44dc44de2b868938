package io.anvilvalve.rules.release

import kotlin.time.Duration
import kotlin.time.Duration.Companion.hours
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Duration.Companion.seconds

/** Clocks of two hosts drift apart by at most 1%. */
internal const val CLOCK_DRIFT = 1.01

/**
 * Times of the release rules.
 *
 * @property claimKeep time for which a claim and its reply are kept.
 * @property claimBatch time between two appends of claims.
 * @property slowLogBatch time between two appends of claims while the log is slow.
 * @property claimTimeout time that a call waits for its claim or for the reply of the call that it repeats.
 * @property firstRetry wait before the first repeat of a failed append; doubled for each further one.
 * @property lastRetry upper bound on the wait between repeats of an append.
 * @property appendTimeout time after which an append without an answer counts as lost.
 * @property withdrawalSpread time over which hosts spread the append of a withdrawal that they heard of from peers.
 * @property freshness age V up to which a successful log read counts as evidence.
 * @property orderTimeout upper bound on the time that an order is under way.
 * @property stateInterval time between two reads of the state of an engine that has not reached its target.
 * @property auditInterval time between two reads of the state of an engine that has reached its target.
 * @property loadSpacing time between two loads from the weight store.
 * @property moveTimeout time after which a role change that shows no effect no longer counts as under way.
 */
data class ReleaseTimes(
    val claimKeep: Duration = 24.hours,
    val claimBatch: Duration = 20.milliseconds,
    val slowLogBatch: Duration = 200.milliseconds,
    val claimTimeout: Duration = 3.seconds,
    val firstRetry: Duration = 100.milliseconds,
    val lastRetry: Duration = 5.seconds,
    val appendTimeout: Duration = 10.seconds,
    val withdrawalSpread: Duration = 5.seconds,
    val freshness: Duration = 8.seconds,
    val orderTimeout: Duration = 10.seconds,
    val stateInterval: Duration = 2.seconds,
    val auditInterval: Duration = 5.minutes,
    val loadSpacing: Duration = 2.seconds,
    val moveTimeout: Duration = 5.minutes,
)
