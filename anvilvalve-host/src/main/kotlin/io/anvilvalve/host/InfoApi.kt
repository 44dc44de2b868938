package io.anvilvalve.host

import jakarta.servlet.http.HttpServletResponse
import kotlinx.serialization.json.add
import kotlinx.serialization.json.addJsonObject
import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.put
import kotlinx.serialization.json.putJsonArray

/** Read-only endpoints: models, health, readiness and metrics. */
internal class InfoApi(private val state: HostState, private val metrics: HostMetrics) {
    fun models(response: HttpServletResponse) {
        val body = buildJsonObject {
            put("object", "list")
            putJsonArray("data") {
                state.status.models.forEach { model ->
                    addJsonObject {
                        put("id", model.value)
                        put("object", "model")
                        put("created", 0)
                        put("owned_by", "anvilvalve")
                    }
                }
            }
        }
        response.sendBody("application/json", body.toString().toByteArray())
    }

    fun health(response: HttpServletResponse) = response.sendBody("text/plain", "ok\n".toByteArray())

    fun ready(response: HttpServletResponse) {
        val ready = state.acceptsTraffic
        if (!ready) response.status = HttpServletResponse.SC_SERVICE_UNAVAILABLE
        response.sendBody("text/plain", (if (ready) "ready\n" else "not ready\n").toByteArray())
    }

    fun metrics(response: HttpServletResponse) = response.sendBody(HostMetrics.CONTENT_TYPE, metrics.expose())
}
