package io.anvilvalve.rules.release

import io.anvilvalve.api.log.KeptReply

/** Upper bound on the body of a kept reply in bytes. */
internal const val MAX_KEPT_BODY_BYTES = 16 * 1024

/** Status of a kept reply that marks the outcome of a sent call as unknown; no HTTP status has this number. */
private const val UNKNOWN_STATUS = 0

/** Returns the reply that records in the log that a call was sent and its outcome is unknown. */
internal fun unknownOutcome(): KeptReply = KeptReply(UNKNOWN_STATUS, contentType = "", ByteArray(0), truncated = true)

internal val KeptReply?.isUnknown: Boolean get() = this != null && status == UNKNOWN_STATUS

internal val KeptReply?.bodySize: Int get() = this?.body?.size ?: 0

/** Returns the reply, without its body if that exceeds [MAX_KEPT_BODY_BYTES]. */
internal fun KeptReply.bounded(): KeptReply = if (body.size > MAX_KEPT_BODY_BYTES) withoutBody() else this

internal fun KeptReply.withoutBody(): KeptReply = KeptReply(status, contentType, ByteArray(0), truncated = true)
