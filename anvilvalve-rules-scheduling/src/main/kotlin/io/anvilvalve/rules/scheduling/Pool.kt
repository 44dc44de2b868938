package io.anvilvalve.rules.scheduling

import io.anvilvalve.api.peer.WorkClass
import io.anvilvalve.api.release.Model
import io.anvilvalve.api.release.Role

/** The servers and the waiting work of one model. */
internal class Pool(var model: Model, val queue: FairQueue) {
    /** All servers of the release that serve the model. */
    private var members: List<ServerState> = emptyList()

    /** Prefill servers that accept new work. */
    var prefills: List<ServerState> = emptyList()
        private set

    /** Decode servers that accept new work. */
    var decodes: List<ServerState> = emptyList()
        private set

    private val answerLengths = WorkClass.entries.associateWith { AnswerLengths() }

    fun answerLengths(workClass: WorkClass): AnswerLengths = answerLengths.getValue(workClass)

    val hasServers: Boolean
        get() = members.any { it.server.role == Role.PREFILL } && members.any { it.server.role == Role.DECODE }

    fun setMembers(servers: List<ServerState>) {
        members = servers
        refresh()
    }

    /** Selects the servers that accept new work; called when a server starts or stops accepting it. */
    fun refresh() {
        val available = members.filter { it.acceptsNewWork(model.id) }
        prefills = available.filter { it.server.role == Role.PREFILL }
        decodes = available.filter { it.server.role == Role.DECODE }
    }
}
