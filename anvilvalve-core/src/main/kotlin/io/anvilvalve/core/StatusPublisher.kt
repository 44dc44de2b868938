package io.anvilvalve.core

/** Publishes the host's status and readiness when they change. */
internal class StatusPublisher(private val out: Outbox) {
    private var published: HostStatus? = null

    fun update(status: HostStatus) {
        val last = published
        if (status == last) return
        published = status
        if (status.ready != (last?.ready ?: false)) out.emit(HostEffect.ReadyChanged(status.ready))
        out.emit(HostEffect.StatusChanged(status))
    }
}
