package io.anvilvalve.rules.routing

/**
 * A caller's request to go on with a stream that broke off.
 *
 * @property attemptId id of the attempt that brought the first event; null if the caller does not name it.
 */
data class Resumption(val attemptId: String?)
