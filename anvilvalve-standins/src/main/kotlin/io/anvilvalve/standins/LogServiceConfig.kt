package io.anvilvalve.standins

/**
 * Limits of a [FakeLogService].
 *
 * @property appendsPerSecond sustained append calls per second, whatever number of records they carry.
 * @property appendBurst append calls accepted at once after an idle period.
 * @property retainedRecords number of records retained; older ones are removed.
 */
data class LogServiceConfig(
    val appendsPerSecond: Int = 500,
    val appendBurst: Int = 200,
    val retainedRecords: Int = 50_000,
)
