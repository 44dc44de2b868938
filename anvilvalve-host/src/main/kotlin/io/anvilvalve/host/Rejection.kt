package io.anvilvalve.host

import io.anvilvalve.api.result.ResultCode

/** A request that is refused before the rules hear of it; [detail] names the field or header at fault. */
internal class Rejection(val code: ResultCode, val detail: String? = null)
