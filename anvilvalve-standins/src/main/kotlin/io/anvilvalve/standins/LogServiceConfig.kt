package io.anvilvalve.standins

/**
 * Limits of a [FakeLogService].
 *
 * @property appendsPerSecond sustained appends per second; calls count, not records.
 * @property appendBurst appends accepted at once after a pause.
 * @property retainedRecords number of records that stay readable.
 */
data class LogServiceConfig(
    val appendsPerSecond: Int = 500,
    val appendBurst: Int = 200,
    val retainedRecords: Int = 50_000,
)
