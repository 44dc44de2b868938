package io.anvilvalve.api.port

import io.anvilvalve.api.id.LogOffset

/** One record as the log service keeps it. */
class StoredRecord(val offset: LogOffset, val data: ByteArray)
