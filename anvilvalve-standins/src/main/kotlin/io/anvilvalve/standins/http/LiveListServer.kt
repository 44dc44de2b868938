package io.anvilvalve.standins.http

import io.anvilvalve.api.port.BackendFault
import io.anvilvalve.api.port.LiveHost
import io.anvilvalve.api.result.Executed
import io.anvilvalve.standins.FakeLiveHostList
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** Serves [list] over the protocol of the platform's live list until the returned server is closed. */
fun serveLiveList(list: FakeLiveHostList, port: Int = 0): StandinServer = StandinServer(port) { server ->
    get("/v1/hosts") {
        server.handleAsync(it) { ctx ->
            list.hosts().fold(
                { reason -> ctx.respondFault(BackendFault(Executed.NO, reason, HTTP_UNAVAILABLE)) },
                { hosts -> ctx.respondJson(HostsResponse.serializer(), HostsResponse(hosts.map(::toEntry))) },
            )
        }
    }
}

private fun toEntry(host: LiveHost) = HostEntry(
    id = host.id.value,
    address = host.address,
    peerPort = host.peerPort,
    dataCentre = host.dataCentre.value,
    region = host.region.value,
    state = if (host.leaving) "leaving" else "live",
)

@Serializable
private class HostsResponse(val hosts: List<HostEntry>)

@Serializable
private class HostEntry(
    val id: String,
    val address: String,
    @SerialName("peer_port") val peerPort: Int,
    @SerialName("data_centre") val dataCentre: String,
    val region: String,
    val state: String,
)
