package io.anvilvalve.api.routing

/**
 * A service to which routes refer.
 *
 * @property maxConnections connections that one backend server accepts from all hosts together.
 * @property coldRequestsPerSecond requests a second that a cold backend server tolerates; 0 if servers are never cold.
 * @property engine set when the backend servers are model engines.
 */
data class ServiceSpec(
    val id: ServiceId,
    val maxConnections: Int,
    val engine: EngineSpec? = null,
    val coldRequestsPerSecond: Double = 0.0,
)
