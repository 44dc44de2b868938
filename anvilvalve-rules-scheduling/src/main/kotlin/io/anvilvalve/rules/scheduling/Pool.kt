package io.anvilvalve.rules.scheduling

import io.anvilvalve.api.release.Model

/** The servers and the waiting work of one model. */
internal class Pool(var model: Model, val queue: FairQueue) {
    var prefills: List<ServerState> = emptyList()
    var decodes: List<ServerState> = emptyList()

    val hasServers: Boolean get() = prefills.isNotEmpty() && decodes.isNotEmpty()
}
