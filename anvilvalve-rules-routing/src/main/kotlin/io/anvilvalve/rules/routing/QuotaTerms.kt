package io.anvilvalve.rules.routing

import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * How quotas are counted.
 *
 * @property window time span in which rate x window + burst tokens may be admitted.
 * @property overshoot share by which the quota may be exceeded, because the hosts count separately.
 * @property slack tokens by which the quota may be exceeded in addition to [overshoot].
 */
data class QuotaTerms(val window: Duration = 8.seconds, val overshoot: Double = 0.1, val slack: Double = 120_000.0)
