package io.anvilvalve.net

import io.anvilvalve.api.port.BackendFault
import io.anvilvalve.api.result.Executed
import kotlinx.serialization.json.Json
import java.io.IOException

/** JSON format of the platform's services and engines; unknown fields are ignored so that they can add fields. */
internal val wireJson = Json {
    ignoreUnknownKeys = true
    encodeDefaults = true
    explicitNulls = false
}

/** A fully read HTTP response. */
internal class HttpReply(val status: Int, val contentType: String?, val body: ByteArray) {
    val text: String get() = body.decodeToString()
}

internal fun IOException.toFault(executed: Executed): BackendFault = BackendFault(executed, reason)
