package io.anvilvalve.rules.routing

import io.anvilvalve.api.id.Incarnation
import io.anvilvalve.api.id.OrganisationId
import io.anvilvalve.api.peer.StreamStart
import io.anvilvalve.api.routing.Backend
import io.anvilvalve.api.routing.ServiceId
import io.anvilvalve.api.routing.Stage
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * Software versions at which streams began, so that they go on at the same ones.
 *
 * Hosts tell each other, or the coordinators of a large fleet, which version began each stream. A host that does not know
 * it goes on with the stream only if the service has had a single version for as long as streams last.
 *
 * @param directoryAge time since this host read the entries of the backend servers from the store.
 */
internal class StreamVersions(
    private val out: Outbox,
    private val directory: Directory,
    private val services: ServiceVersions,
    private val directoryAge: () -> Duration,
) : ServerRule {
    private class Start(val start: StreamStart, val isOwn: Boolean, var at: Duration)

    private val starts = LinkedHashMap<Long, Start>()
    private var unreported = ArrayList<StreamStart>()
    private var reportedTo = emptySet<Incarnation>()

    /**
     * Streams that began at this host, for a report to the hosts [receivers]: those since the last report, or all if a host did
     * not get the last one.
     */
    fun report(receivers: Set<Incarnation>): List<StreamStart> {
        val isComplete = receivers.all { it in reportedTo }
        reportedTo = receivers
        val since = unreported
        if (since.isNotEmpty()) unreported = ArrayList()
        return if (isComplete) since else starts.values.filter { it.isOwn }.map { it.start }
    }

    /** Records the first event of the stream of [request]; returns whether other hosts must learn of it. */
    fun began(request: LiveRequest): Boolean {
        val server = request.server ?: return false
        if (!request.route.resumable || request.streamVersion != null) return false
        val hasRestarted = directory[server.id]?.let { it.start != server.start } == true
        val version = if (hasRestarted) UNCERTAIN else server.version
        request.streamVersion = version
        val attemptId = request.request.attemptId
        if (attemptId == null || request.isTakenUp) return false
        val start = StreamStart(hash(request.organisationId, attemptId), request.service.id, version)
        if (!put(start, isOwn = true)) return false
        unreported += start
        return true
    }

    /** Applies what another host tells of its streams. */
    fun applyReport(started: List<StreamStart>) = started.forEach { put(it, isOwn = false) }

    /** Hash code of the stream that [request] takes up; null if it begins anew or does not name the stream. */
    fun streamOf(request: InboundRequest, organisation: OrganisationId?): Long? =
        request.resumption?.attemptId?.let { hash(organisation, it) }

    /** The service at which [stream] began; null if this host does not know it. */
    fun serviceOf(stream: Long): ServiceId? = starts[stream]?.start?.service

    /**
     * The version of [service] that began [stream]; null if it is not known for certain, or if another service began it.
     *
     * @param isOnlyService whether requests of the route go to no other service.
     */
    fun versionOf(stream: Long?, service: ServiceId, isOnlyService: Boolean): String? {
        val known = stream?.let(starts::get)
        if (known != null) {
            known.at = out.now
            return known.start.version.takeIf { known.start.service == service }
        }
        return services.only(service).takeIf { isOnlyService && directoryAge() <= MAX_DIRECTORY_AGE }
    }

    fun tick() {
        val oldest = starts.values.iterator()
        while (oldest.hasNext() && out.now - oldest.next().at >= services.retention) oldest.remove()
    }

    /** Prefill engines write no events. */
    override fun allows(server: Backend, need: PlacementNeed?): Boolean {
        val version = need?.version ?: return true
        return server.stage == Stage.PREFILL || (directory[server.id] ?: server).version == version
    }

    private fun put(start: StreamStart, isOwn: Boolean): Boolean =
        starts.putIfAbsent(start.stream, Start(start, isOwn, out.now)) == null

    /** Two attempts with the same code have different versions only by a chance of 1 in 2^63. */
    private fun hash(organisation: OrganisationId?, attemptId: String): Long =
        "${organisation?.value.orEmpty()}/$attemptId".fold(FNV_OFFSET) { hash, char ->
            (hash xor char.code.toLong()) *
                FNV_PRIME
        }

    private companion object {
        /** Version of a stream whose server may have started again with another one; no server has it. */
        const val UNCERTAIN = "\u0000"

        /** Entries are read twice a second. A stream of a newer version that this host does not know is told by its host. */
        val MAX_DIRECTORY_AGE = 1.seconds

        /** Constants of the hash function FNV-1a with 64 bits. */
        const val FNV_OFFSET = -0x340d631b7bdddcdbL
        const val FNV_PRIME = 0x100000001b3L
    }
}
