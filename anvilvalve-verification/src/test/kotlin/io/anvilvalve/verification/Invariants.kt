package io.anvilvalve.verification

import io.anvilvalve.api.id.OrganisationId
import io.anvilvalve.api.id.ReleaseNumber
import io.anvilvalve.api.result.Executed
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** The ten invariants of the design page, checked on a fleet that has come to rest; each returns its violations. */
internal class Invariants(private val fleet: VirtualFleet, private val limits: Map<OrganisationId, Limit>) {
    class Limit(val rate: Long, val burst: Long)

    private val ledger = fleet.ledger
    private val entries get() = ledger.entries.values

    fun all(): List<String> = listOf(
        "I1" to memoryFreed(),
        "I2" to answeredOnce(),
        "I3" to withdrawnKeysStop(),
        "I4" to withinLimits(),
        "I5" to wholeAnswers(),
        "I6" to notRunIsTrue(),
        "I7" to atMostOnce(),
        "I8" to leavingServersRest(),
        "I9" to drainCutsNothing(),
        "I10" to releasesAgree(),
    ).flatMap { (name, violations) -> violations.map { "$name: $it" } }

    /** Counts requests by their first answer. */
    fun outcomes(): Map<String, Int> = entries
        .groupingBy { e -> e.answers.firstOrNull()?.let { it.code?.name ?: "whole" } ?: "none" }
        .eachCount()

    fun describe(): String = entries.joinToString("\n") {
        "${it.id} ${it.organisation} ${it.arrivedAt} ${it.startedAt} ${it.answers}"
    }

    fun memoryFreed(): List<String> = fleet.backends.held.keys
        .filter { (_, engineId) -> isOver(engineId) }
        .map { (server, engineId) -> "$server holds $engineId" }

    fun answeredOnce(): List<String> = entries.filter { it.answers.size > 1 }.map { "${it.id} answered ${it.answers}" }

    fun withdrawnKeysStop(): List<String> = fleet.backends.starts.mapNotNull { start ->
        val key = ledger.entries[start.request]?.key
        val withdrawn = ledger.withdrawnKeys[key] ?: return@mapNotNull null
        "${start.request} started ${start.at - withdrawn} after its key was withdrawn".takeIf {
            start.at > withdrawn + SPREAD_LIMIT
        }
    }

    /** Sums requests that arrived and started within a window; all of them were admitted within it. */
    fun withinLimits(): List<String> = limits.flatMap { (organisation, limit) ->
        val used = entries.filter { it.organisation == organisation && it.startedAt != null && it.callKey == null }
        used.map { it.arrivedAt }.distinct().mapNotNull { from -> overrun(organisation, limit, used, from) }
    }

    fun wholeAnswers(): List<String> {
        val cut = entries.filter { e -> e.callKey == null && e.answers.any { it.code == null } }
            .filter { it.delivered != it.expectedTokens || it.id in ledger.tokenGaps }
            .map { "${it.id} ended whole with ${it.delivered} of ${it.expectedTokens} tokens" }
        val wrong = entries.filter { e -> e.answers.any { it.body != null && it.body != "done ${e.callKey}" } }
            .map { "${it.id} got the reply of another call" }
        val open = entries.filter { it.answers.isEmpty() && it.goneAt == null }.map { "${it.id} was never answered" }
        return cut + wrong + open
    }

    fun notRunIsTrue(): List<String> {
        val started = fleet.backends.starts.map { it.request }.toSet()
        return entries.filter { e -> e.id in started && e.answers.any { it.executed == Executed.NO } }
            .map { "${it.id} ran although it was refused as not run: ${it.answers}" }
    }

    fun atMostOnce(): List<String> = entries.mapNotNull { it.callKey }.distinct()
        .map { key -> key to fleet.backends.starts.count { it.work == key } }
        .filter { (_, runs) -> runs > 1 }
        .map { (key, runs) -> "$key ran $runs times" }

    fun leavingServersRest(): List<String> = fleet.backends.starts.mapNotNull { start ->
        val leaving = ledger.leavingServers[start.server] ?: return@mapNotNull null
        "${start.server} got ${start.work} ${start.at - leaving} after it was marked as leaving".takeIf {
            start.at > leaving + SPREAD_LIMIT
        }
    }

    fun drainCutsNothing(): List<String> = ledger.cutByDrain.map { "$it cut requests in a planned stop" }

    fun releasesAgree(): List<String> {
        val reverted = ledger.inForce.groupBy { it.incarnation }.filterValues { seen ->
            seen.zipWithNext().any { (a, b) -> b.release < a.release }
        }.keys.map { "$it went back to an earlier release" }
        val newest = ledger.inForce.maxOfOrNull { it.release } ?: ReleaseNumber(0)
        val behind = fleet.hosts.values.filter { it.alive && it.status?.release != newest }
            .map { "${it.member.incarnation} has release ${it.status?.release}, not $newest" }
        return reverted + behind
    }

    private fun isOver(engineId: String): Boolean {
        val entry = entries.firstOrNull { engineId.startsWith("${it.id.value}.") } ?: return true
        val gone = entry.goneAt
        return entry.answers.isNotEmpty() || gone != null
    }

    private fun overrun(
        organisation: OrganisationId,
        limit: Limit,
        used: List<Ledger.Entry>,
        from: Duration,
    ): String? {
        var sum = 0L
        for (entry in used.filter { it.arrivedAt >= from }.sortedBy { it.startedAt }) {
            sum += entry.promptTokens + entry.delivered
            val seconds = (checkNotNull(entry.startedAt) - from).inWholeMicroseconds / 1e6
            // Hosts' clocks drift by up to 1%.
            val allowed = limit.burst + limit.rate * seconds * DRIFT
            if (sum > allowed) return "$organisation used $sum tokens in $seconds s, $allowed are allowed"
        }
        return null
    }

    companion object {
        /** Freshness limit of 8 s, log long poll and hops. */
        val SPREAD_LIMIT = 10.seconds
        const val DRIFT = 1.01
    }
}
