package io.anvilvalve.rules.routing

import io.anvilvalve.api.id.DataCentreId
import io.anvilvalve.api.id.RegionId
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Limits that all hosts enforce together.
 *
 * @property retryRatio share of a service's requests that may be retried.
 * @property retryExtra retries allowed beyond [retryRatio] in [retryWindow].
 * @property quota how quotas are counted.
 * @property prefillShare share of the engines assigned to prefill until enough requests have been measured.
 * @property orderLease time after which the previous leader can no longer send orders.
 * @property cold how many requests cold backend servers may get.
 * @property regions region of each data centre.
 * @property drainLimit time from the stop signal until the platform ends the process.
 */
data class RoutingSettings(
    val retryRatio: Double = 0.2,
    val retryExtra: Double = 50.0,
    val retryWindow: Duration = 10.seconds,
    val quota: QuotaTerms = QuotaTerms(),
    val drainLimit: Duration = 8.seconds,
    val prefillShare: Double = 0.33,
    val orderLease: Duration = 3_500.milliseconds,
    val cold: ColdTerms = ColdTerms(),
    val regions: Map<DataCentreId, RegionId> = emptyMap(),
)
