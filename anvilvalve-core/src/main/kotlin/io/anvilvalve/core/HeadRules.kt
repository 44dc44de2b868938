package io.anvilvalve.core

import io.anvilvalve.api.id.KeyHash
import io.anvilvalve.api.id.RouteId
import io.anvilvalve.api.release.Release
import io.anvilvalve.api.result.ResultCode

/**
 * Immutable routes and keys of one release, by which a host refuses a request before it reads the body.
 *
 * The reducer still decides about every request whose body is read.
 */
class HeadRules internal constructor(private val release: Release, private val keys: Keys) {
    private val admission = Admission(keys)

    /** Returns why a model request with [key] is refused, or null if the body decides. */
    fun refusal(key: KeyHash): ResultCode? =
        if (keys.organisationOf(key) in release.organisations) null else ResultCode.KEY_INVALID

    /** Returns why a call to a plain service is refused, or null if it may be admitted. */
    fun refusal(key: KeyHash?, idempotencyKey: String?, route: RouteId): ResultCode? {
        val found = release.routes[route] ?: return ResultCode.UNKNOWN_ROUTE
        return (admission.check(key, idempotencyKey, found) as? Admission.Decision.Refuse)?.code
    }
}
