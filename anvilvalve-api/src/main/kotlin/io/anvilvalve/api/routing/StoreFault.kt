package io.anvilvalve.api.routing

/**
 * Why a call to the store failed.
 *
 * @property historyLost whether the requested records are no longer retained.
 */
data class StoreFault(val reason: String, val historyLost: Boolean = false)
