package io.anvilvalve.host

import arrow.core.Either
import arrow.core.raise.either
import arrow.core.raise.ensure
import io.anvilvalve.api.id.KeyHash
import io.anvilvalve.api.result.ResultCode
import jakarta.servlet.http.HttpServletRequest
import jakarta.servlet.http.HttpServletResponse
import kotlinx.serialization.KSerializer
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.add
import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.put
import kotlinx.serialization.json.putJsonArray
import java.security.MessageDigest
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** Handlers of the operators' API; each request must present the bearer [token]. */
internal class OperatorsApi(
    private val token: String,
    private val state: HostState,
    private val bodies: BodyReader,
    private val running: () -> Int,
    private val withdraw: (KeyHash) -> Unit,
    private val drain: (Duration) -> Unit,
) {
    fun status(request: HttpServletRequest, response: HttpServletResponse) = withOperatorToken(request, response) {
        val status = state.status
        val body = buildJsonObject {
            put("host", status.host.value)
            put("incarnation", status.incarnation.value)
            put("release", status.release.value)
            put("applied_offset", status.appliedOffset.value)
            put("current", status.current)
            put("ready", state.acceptsTraffic)
            put("draining", status.draining || state.draining)
            putJsonArray("members") { status.members.forEach { add(it.value) } }
            put("running", running())
        }
        response.sendBody("application/json", body.toString().toByteArray())
    }

    fun withdrawKey(request: HttpServletRequest, response: HttpServletResponse) = withOperatorToken(request, response) {
        val hash = parse(request, KeyBody.serializer()).map { it.hash.lowercase() }
        val checked = either {
            val hex = hash.bind()
            ensure(hashPattern.matches(hex)) { Rejection(ResultCode.MALFORMED_REQUEST, "hash must be SHA-256 in hex.") }
            KeyHash(hex)
        }
        checked.fold({ response.sendError(it.code, it.detail) }) { key ->
            withdraw(key)
            response.accepted()
        }
    }

    fun drain(request: HttpServletRequest, response: HttpServletResponse) = withOperatorToken(request, response) {
        val deadline = either {
            val body = parse(request, DrainBody.serializer()).bind()
            ensure(body.deadlineSeconds in 0..MAX_DRAIN_DEADLINE_SECONDS) {
                Rejection(ResultCode.MALFORMED_REQUEST, "deadline_s must be 0 to $MAX_DRAIN_DEADLINE_SECONDS.")
            }
            body.deadlineSeconds.seconds
        }
        deadline.fold({ response.sendError(it.code, it.detail) }) {
            drain(it)
            response.accepted()
        }
    }

    private fun withOperatorToken(request: HttpServletRequest, response: HttpServletResponse, work: () -> Unit) {
        val presentedToken = request.getHeader("Authorization").orEmpty().removePrefix("Bearer ")
        if (MessageDigest.isEqual(presentedToken.toByteArray(), token.toByteArray())) {
            work()
        } else {
            // The body is unread, so the server closes the connection; a caller that reused it would get no answer.
            response.setHeader("Connection", "close")
            response.sendError(ResultCode.KEY_INVALID)
        }
    }

    private fun <T> parse(request: HttpServletRequest, serializer: KSerializer<T>): Either<Rejection, T> = either {
        bodies.readText(request) { text ->
            Either.catch { Json.decodeFromString(serializer, text) }
                .mapLeft { Rejection(ResultCode.MALFORMED_REQUEST, "The body is not the expected JSON.") }
        }.bind()
    }

    private fun HttpServletResponse.accepted() {
        status = HttpServletResponse.SC_ACCEPTED
        sendBody("application/json", "{}".toByteArray())
    }

    @Serializable
    private class KeyBody(val hash: String)

    @Serializable
    private class DrainBody(@SerialName("deadline_s") val deadlineSeconds: Int)

    private companion object {
        const val MAX_DRAIN_DEADLINE_SECONDS = 86_400
        val hashPattern = Regex("[0-9a-f]{64}")
    }
}
