package io.anvilvalve.core

import io.anvilvalve.api.id.KeyHash
import io.anvilvalve.api.id.OrganisationId
import io.anvilvalve.api.release.Release
import io.anvilvalve.api.release.Route
import io.anvilvalve.api.result.ResultCode

/** Validates a request before it is charged or run; the first failed check determines the result code. */
internal class Admission(private val keys: Keys) {
    /** Result of the checks: the organisation to charge (null on an open route), or the code to refuse with. */
    sealed interface Decision {
        data class Accept(val organisation: OrganisationId?) : Decision

        data class Refuse(val code: ResultCode) : Decision
    }

    fun check(request: ModelRequest, release: Release): Decision {
        val organisation = organisation(request.key) ?: return Decision.Refuse(keyErrorCode(request.key))
        val limits = release.organisations[organisation] ?: return Decision.Refuse(ResultCode.KEY_INVALID)
        val model = release.models[request.model] ?: return Decision.Refuse(ResultCode.UNKNOWN_MODEL)
        val tokens = request.promptTokens.toLong() + request.maxTokens
        return when {
            request.maxTokens !in 1..limits.maxTokens -> Decision.Refuse(ResultCode.MAX_TOKENS_OUT_OF_RANGE)
            tokens > model.maxContextTokens -> Decision.Refuse(ResultCode.PROMPT_TOO_LONG)
            tokens > limits.burst -> Decision.Refuse(ResultCode.PROMPT_TOO_LONG)
            else -> Decision.Accept(organisation)
        }
    }

    fun check(request: ServiceRequest, route: Route): Decision = check(request.key, request.idempotencyKey, route)

    /** Checks what the header of a call states. */
    fun check(key: KeyHash?, idempotencyKey: String?, route: Route): Decision {
        val organisation = organisation(key)
        return when {
            !route.open && organisation == null -> Decision.Refuse(keyErrorCode(key))

            !route.repeatable && idempotencyKey == null ->
                Decision.Refuse(ResultCode.IDEMPOTENCY_KEY_REQUIRED)

            else -> Decision.Accept(organisation.takeUnless { route.open })
        }
    }

    private fun organisation(key: KeyHash?): OrganisationId? = key?.let(keys::organisationOf)

    private fun keyErrorCode(key: KeyHash?): ResultCode =
        if (key == null) ResultCode.KEY_MISSING else ResultCode.KEY_INVALID
}
