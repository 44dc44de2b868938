package io.anvilvalve.api.port

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/**
 * Location of the KV cache of a finished prefill, in the form that engines publish as `kv_transfer_params`.
 *
 * @property expiresMillis time from the end of the prefill until the cache expires, in milliseconds.
 */
@Serializable
data class KvHandle(
    @SerialName("do_remote_prefill") val remotePrefill: Boolean = true,
    @SerialName("remote_engine_id") val engineId: String,
    @SerialName("remote_request_id") val requestId: String,
    @SerialName("remote_host") val host: String,
    @SerialName("remote_port") val port: Int,
    @SerialName("kv_pieces") val pieces: Int,
    @SerialName("expires_ms") val expiresMillis: Long,
)
