package io.anvilvalve.rules.scheduling

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Settings of the pool scheduler.
 *
 * @property queueBound maximum number of waiting requests of one organisation per model and class.
 * @property batchShare share of an organisation's token cost that its batch work gets while its interactive work waits.
 * @property batchLag time by which an organisation's batch work falls behind before interactive work of others
 *   waits for it.
 * @property promptWeight token cost of one prompt token, when one generated token costs 1.
 * @property batchPrefillWait maximum time for which placing batch work may make interactive work wait for a prefill
 *   server.
 * @property tokenGap maximum acceptable mean time between the tokens of one answer.
 * @property resultLifetime time after which an engine may drop the result of a prefill.
 * @property prefillLead maximum predicted remaining prefill time at which a prefill server gets its next prefill.
 * @property prefillDepth maximum number of concurrent prefills at a prefill server.
 * @property deadlineSlack share of the first-token budget that must be left, beyond the best case, when work is placed.
 * @property overbooking whether a prefill may start when a decode slot is only predicted to become free in time.
 * @property crossCentrePenalty minimum predicted time saved by a prefill outside the data centre of the origin.
 * @property startTimeout time after which a placement that was not started is released.
 * @property progressTimeout time without reported progress after which a running request is released.
 * @property endedRetention time for which ended requests are kept, to recognise repeated and late events.
 * @property retryRatio retries allowed per first attempt.
 * @property retryBurst maximum number of unused retries that accumulate.
 */
data class SchedulingSettings(
    val queueBound: Int = 256,
    val batchShare: Double = 0.2,
    val batchLag: Duration = 30.seconds,
    val promptWeight: Double = 1.0 / 16,
    val batchPrefillWait: Duration = 400.milliseconds,
    val tokenGap: Duration = 28.milliseconds,
    val resultLifetime: Duration = 800.milliseconds,
    val prefillLead: Duration = 10.milliseconds,
    val prefillDepth: Int = 4,
    val deadlineSlack: Double = 0.25,
    val overbooking: Boolean = true,
    val crossCentrePenalty: Duration = 10.milliseconds,
    val startTimeout: Duration = 5.seconds,
    val progressTimeout: Duration = 120.seconds,
    val endedRetention: Duration = 60.seconds,
    val retryRatio: Double = 0.1,
    val retryBurst: Double = 10.0,
    val breaker: BreakerSettings = BreakerSettings(),
)
