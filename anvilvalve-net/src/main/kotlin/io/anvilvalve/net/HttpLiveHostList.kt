package io.anvilvalve.net

import arrow.core.Either
import arrow.core.flatMap
import arrow.core.left
import io.anvilvalve.api.id.DataCentreId
import io.anvilvalve.api.id.HostId
import io.anvilvalve.api.id.RegionId
import io.anvilvalve.api.port.LiveHost
import io.anvilvalve.api.port.LiveHostList
import io.anvilvalve.api.result.bounded
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import okhttp3.HttpUrl.Companion.toHttpUrl
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * Reads the platform's list of live hosts over HTTP from [baseUrl].
 *
 * @param timeout upper bound on the duration of a call.
 */
class HttpLiveHostList(
    baseUrl: String,
    private val timeout: Duration = 10.seconds,
    calls: ServerCalls = SingleUseCalls(CONNECT_TIMEOUT),
) : LiveHostList {
    private val calls = AsyncCalls(calls)
    private val request = baseUrl.toHttpUrl().newBuilder().addPathSegments("v1/hosts").build().toCallRequest()

    override suspend fun hosts(): Either<String, List<LiveHost>> = calls.exchange(request, timeout, MAX_ANSWER_BYTES)
        .mapLeft { it.reason }
        .flatMap { if (it.status == OK) parse(it.text) else "status ${it.status}".left() }

    private fun parse(text: String): Either<String, List<LiveHost>> =
        Either.catch { wireJson.decodeFromString(HostsReply.serializer(), text).hosts.map(HostEntry::toHost) }
            .mapLeft { "malformed answer: ${it.message.bounded()}" }

    @Serializable
    private class HostsReply(val hosts: List<HostEntry>)

    @Serializable
    private class HostEntry(
        val id: String,
        val address: String,
        @SerialName("peer_port") val peerPort: Int,
        @SerialName("data_centre") val dataCentre: String,
        val region: String,
        val state: String,
    ) {
        fun toHost() = LiveHost(
            HostId(id),
            address,
            peerPort,
            DataCentreId(dataCentre),
            RegionId(region),
            leaving = state == "leaving",
        )
    }

    private companion object {
        val CONNECT_TIMEOUT = 1.seconds
        const val OK = 200
        const val MAX_ANSWER_BYTES = 4 * 1024 * 1024
    }
}
