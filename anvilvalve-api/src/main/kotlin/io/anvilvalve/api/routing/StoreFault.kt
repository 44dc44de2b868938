package io.anvilvalve.api.routing

/**
 * Why a call to the store failed.
 *
 * @property historyLost whether reading cannot go on at the requested position, because its records have been deleted or
 * the store has come back from an older copy.
 */
data class StoreFault(val reason: String, val historyLost: Boolean = false)
