package io.anvilvalve.api.routing

/**
 * A service to which routes refer.
 *
 * @property maxConnections connections that one backend server accepts from all hosts together.
 * @property engine set when the backend servers are model engines.
 */
data class ServiceSpec(val id: ServiceId, val maxConnections: Int, val engine: EngineSpec? = null)
