package io.anvilvalve.host

import io.anvilvalve.api.result.ResultCode

/** Refusal of an invalid request before it reaches the reducer; [detail] names the faulty field or header. */
internal class Rejection(val code: ResultCode, val detail: String? = null)
