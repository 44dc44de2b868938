package io.anvilvalve.standins.http

import io.anvilvalve.api.port.BackendFault
import io.javalin.http.Context
import kotlinx.serialization.KSerializer
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.put
import kotlinx.serialization.json.putJsonObject

internal val wireJson = Json {
    ignoreUnknownKeys = true
    encodeDefaults = true
}

internal fun <T> Context.respondJson(serializer: KSerializer<T>, value: T) = respondJson(
    HTTP_OK,
    wireJson.encodeToString(serializer, value),
)

internal fun Context.respondJson(status: Int, text: String) {
    status(status)
    contentType("application/json")
    result(text)
}

/** Responds with the status of [fault], or closes the connection if it has none. */
internal fun Context.respondFault(fault: BackendFault) {
    val status = fault.status
    if (status == null) CallerConnection.of(this).abort() else respondJson(status, errorJson(fault))
}

internal fun errorJson(fault: BackendFault): String = buildJsonObject {
    putJsonObject("error") {
        put("code", "refused")
        put("message", fault.reason)
        put("executed", fault.executed.name.lowercase())
    }
}.toString()

internal const val HTTP_OK = 200
internal const val HTTP_BAD_REQUEST = 400
internal const val HTTP_NOT_FOUND = 404
internal const val HTTP_TOO_MANY = 429
internal const val HTTP_UNAVAILABLE = 503
