package io.anvilvalve.api.port

import io.anvilvalve.api.id.LogOffset

/**
 * Answer to a read of the log.
 *
 * @property firstRetained oldest offset that can still be read.
 * @property end offset that the next append will get; the page reaches the tail when its last record is at `end - 1`.
 */
class LogPage(val firstRetained: LogOffset, val end: LogOffset, val records: List<StoredRecord>)
