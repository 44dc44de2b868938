package io.anvilvalve.rules.routing

import io.anvilvalve.api.id.HostId
import io.anvilvalve.api.peer.FleetSummary
import io.anvilvalve.api.peer.PeerMessage.SharedState
import io.anvilvalve.api.peer.PeerMessage.StateRequest
import io.anvilvalve.api.peer.StatePageInfo
import io.anvilvalve.api.result.LogEvent
import io.anvilvalve.api.routing.StorePosition
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Exchanges the state of the store with other hosts.
 *
 * The configuration is a message of its own and is sent first. Entries of backend servers are sent in pages, each of which
 * is asked for, so that a newer configuration waits for one page at most. A host gets only what changed after its position.
 * If the sender does not know all removals since then, or the digests differ in the end, the host replaces all its entries.
 */
internal class StateExchange(
    private val out: Outbox,
    private val configuration: ConfigurationState,
    private val directory: Directory,
    private val follower: StateFollower,
) {
    /** Replacement of all entries by those of the host [from], of which the changes up to [position] have arrived. */
    private class Replacement(val from: HostId) {
        var position = StorePosition.NONE
        val keys = HashSet<String>()
    }

    private val namedVersion = NamedState<Long>()
    private val namedPosition = NamedState<StorePosition>()
    private var configurationAskedAt: Duration? = null
    private var configurationAsked = -1L
    private var pageAskedAt: Duration? = null
    private var replacement: Replacement? = null
    private var replacedAt: Duration? = null

    /** Whether other hosts name newer state, and none of it has arrived for [RoutingTimes.STATE_OVERDUE_TIME]. */
    val isOverdue: Boolean
        get() = namedVersion.isOverdue(configuration.version, out.now) ||
            namedPosition.isOverdue(directory.position, out.now)

    /** Whether a page has been asked for and may still arrive. */
    val isPageAwaited: Boolean get() = pageAskedAt.isWithin(PAGE_TIME)

    /** Request to the sender of [summary] for the state that it names; null if this host has it, or has just asked for it. */
    fun requestFor(summary: FleetSummary): StateRequest? {
        namedVersion.named(summary.configuration, configuration.version, out.now)
        namedPosition.named(summary.directoryPosition, directory.position, out.now)
        val isVersionAsked = configurationAsked >= summary.configuration && configurationAskedAt.isWithin(ANSWER_TIME)
        val needsVersion = summary.configuration > configuration.version && !isVersionAsked
        val needsPage = summary.directoryPosition > directory.position && !isPageAwaited
        if (needsVersion) {
            configurationAsked = summary.configuration
            configurationAskedAt = out.now
        }
        return when {
            needsPage -> requestPage(summary.member.host, if (needsVersion) configuration.version else Long.MAX_VALUE)
            needsVersion -> StateRequest(configuration.version, Long.MAX_VALUE, Long.MAX_VALUE, replaces = false)
            else -> null
        }
    }

    /** Request to [host] for all that is newer than the state of this host. */
    fun request(host: HostId): StateRequest = requestPage(host, configuration.version)

    /** Messages with the state that the sender of [request] does not know. */
    fun answer(request: StateRequest): List<SharedState> {
        val newer = configuration.message?.takeIf { configuration.version > request.configuration }
        return listOfNotNull(newer, if (request.replaces == null) allEntries(request) else page(request))
    }

    /** Applies [state] of the host [from]; returns the request for its next page, null if there is none. */
    fun received(state: SharedState, from: HostId): StateRequest? {
        state.configuration?.let(follower::applyPeerConfiguration)
        val page = state.page
        if (page == null) {
            if (state.directory >= 0) applyAll(state)
            return null
        }
        pageAskedAt = null
        namedPosition.arrived(out.now)
        val running = replacement?.takeIf { it.from == from }
        return when {
            running != null && running.position == page.from -> applyReplacement(running, state, page)

            running == null && page.from == StorePosition.NONE -> applyReplacement(startReplacement(from), state, page)

            replacement == null && page.from == directory.position -> applyChanges(state, page, from)

            // An answer to an earlier request.
            else -> null
        }
    }

    private fun requestPage(host: HostId, version: Long): StateRequest {
        pageAskedAt = out.now
        val isEmpty = directory.position == StorePosition.NONE
        val running = replacement?.takeIf { it.from == host } ?: if (isEmpty) startReplacement(host) else null
        if (running == null) replacement = null
        val (era, offset) = running?.position ?: directory.position
        return StateRequest(version, offset, era, replaces = running != null)
    }

    private fun startReplacement(host: HostId) = Replacement(host).also {
        replacement = it
        replacedAt = out.now
    }

    /** Hosts that do not know pages expect all entries in one message. */
    private fun allEntries(request: StateRequest): SharedState? {
        if (directory.position <= request.directoryPosition || directory.isEmpty) return null
        val (era, offset) = directory.position
        return SharedState(null, directory.entries, offset, era)
    }

    /** A host that knows no server tells nobody; it may not have read them all. */
    private fun page(request: StateRequest): SharedState? {
        if (directory.isEmpty) return null
        val known = request.directoryPosition
        val isKnown = known >= maxOf(directory.position, directory.changedAt)
        if (isKnown && request.replaces != true) return null
        val isFollowed = request.replaces == true || directory.knowsRemovalsAfter(known)
        val from = if (isFollowed) known else StorePosition.NONE
        val changes = directory.changesAfter(from, PAGE_BYTES)
        val digest = directory.digest.takeIf { changes.isLast }
        val page = StatePageInfo(from.offset, from.era, more = !changes.isLast, digest)
        return SharedState(null, changes.entries, changes.next.offset, changes.next.era, page)
    }

    private fun applyAll(state: SharedState) {
        val position = state.directoryPosition
        if (position <= directory.position) return
        logApplied(state, replaces = true)
        follower.applyPeerEntries(position) { apply(state.backends, complete = true, position, it) }
    }

    private fun applyChanges(state: SharedState, page: StatePageInfo, from: HostId): StateRequest? {
        val position = state.directoryPosition
        if (state.backends.isNotEmpty()) logApplied(state, replaces = false)
        follower.applyPeerEntries(position) { apply(state.backends, complete = false, position, it) }
        val digest = directory.digest
        val differs = page.digest != null && digest != null && digest != page.digest
        if (differs && !replacedAt.isWithin(REPLACEMENT_INTERVAL)) startReplacement(from)
        return if (replacement != null || (page.more && position > page.from)) request(from) else null
    }

    private fun applyReplacement(running: Replacement, state: SharedState, page: StatePageInfo): StateRequest? {
        val position = state.directoryPosition
        val (removed, present) = state.backends.partition { it.value == null }
        running.keys -= removed.mapTo(HashSet()) { it.key }
        running.keys += present.map { it.key }
        if (page.more && position > running.position) {
            running.position = position
            follower.applyPeerEntries(position) { applyPart(state.backends, it) }
            return request(running.from)
        }
        replacement = null
        logApplied(state, replaces = true)
        follower.applyPeerEntries(position) { applyRest(state.backends, running.keys, position, it) }
        return null
    }

    private fun logApplied(state: SharedState, replaces: Boolean) = out.log(
        LogEvent.PEER_STATE_APPLIED,
        "directory" to state.directoryPosition,
        "before" to directory.position,
        "entries" to state.backends.size,
        "replaces" to replaces,
    )

    private fun Duration?.isWithin(time: Duration) = this != null && out.now - this < time

    private companion object {
        /** A tenth of a second on a link of 10 Mbit/s, during which a newer configuration waits. */
        const val PAGE_BYTES = 128 * 1024

        /** A peer answers within a few milliseconds. */
        val ANSWER_TIME = 300.milliseconds

        /** Several times the time that a page takes on a link of 10 Mbit/s. */
        val PAGE_TIME = 500.milliseconds

        /** Bounds the messages if the entries of two hosts differ for a reason that a replacement does not mend. */
        val REPLACEMENT_INTERVAL = 10.seconds
    }
}
