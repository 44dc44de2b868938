package io.anvilvalve.rules.scheduling

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Fixed properties of the pool scheduler.
 *
 * @property queueBound requests that one organisation may have waiting per model and class.
 * @property batchShare share of an organisation's token cost that its batch work gets while its interactive work waits.
 * @property batchLag time by which an organisation with batch work falls behind before interactive work of others waits
 *   for it.
 * @property promptWeight token cost of one prompt token, when one generated token costs 1.
 * @property batchPrefillWait longest time that interactive work may have to wait for a prefill server because batch work
 *   is placed.
 * @property tokenGap longest acceptable mean time between tokens of one answer.
 * @property resultLifetime time after which an engine may drop the result of a prefill.
 * @property prefillLead remaining work of a prefill server below which it gets its next prefill.
 * @property prefillDepth prefills that a prefill server holds at once at most.
 * @property deadlineSlack share of the first-token budget that waiting work must have left when it is placed.
 * @property overbooking whether a prefill may start when a decode slot is only predicted to be free for its result.
 * @property crossCentrePenalty time that placing work in another data centre must save.
 * @property startTimeout time after which a placement that was never started is released.
 * @property progressTimeout time after which a running request without progress is released.
 * @property endedRetention time for which ended requests are remembered, to recognise repeated and late events.
 * @property retryRatio retries allowed per request.
 * @property retryBurst retries allowed at once.
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
