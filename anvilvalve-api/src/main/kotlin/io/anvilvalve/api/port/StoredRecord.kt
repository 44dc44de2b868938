package io.anvilvalve.api.port

import io.anvilvalve.api.id.LogOffset

/** One record of the log with its offset. */
class StoredRecord(val offset: LogOffset, val data: ByteArray)
