package io.anvilvalve.api.port

import io.anvilvalve.api.result.Executed

/**
 * Why a call to a backend server failed.
 *
 * @property executed [Executed.NO] only when no byte of the call was sent, or the server reported that it did not run.
 * @property status HTTP status of the backend server, or null when there was no answer.
 */
data class BackendFault(val executed: Executed, val reason: String, val status: Int? = null)
