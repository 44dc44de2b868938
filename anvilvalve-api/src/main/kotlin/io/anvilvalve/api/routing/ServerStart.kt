package io.anvilvalve.api.routing

import io.anvilvalve.api.id.BackendServerId

/** One start of a backend server at one address; another start or address counts as a different server. */
data class ServerStart(val id: BackendServerId, val address: String, val startedAtMillis: Long)
