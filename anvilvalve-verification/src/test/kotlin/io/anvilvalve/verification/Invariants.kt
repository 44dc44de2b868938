package io.anvilvalve.verification

import io.anvilvalve.api.id.OrganisationId
import io.anvilvalve.api.id.ReleaseNumber
import io.anvilvalve.api.result.Executed
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** Checks the ten invariants of the design page after a run has settled; each checker returns its violations. */
internal class Invariants(private val fleet: VirtualFleet, private val limits: Map<OrganisationId, Limit>) {
    class Limit(val rate: Long, val burst: Long)

    private val history = fleet.history
    private val entries get() = history.entries.values

    fun all(): List<String> = listOf(
        "I1" to unreleasedMemory(),
        "I2" to duplicateAnswers(),
        "I3" to startsAfterKeyWithdrawal(),
        "I4" to rateLimitOverruns(),
        "I5" to incorrectAnswers(),
        "I6" to executionsAfterRefusal(),
        "I7" to repeatedExecutions(),
        "I8" to startsOnLeavingServers(),
        "I9" to requestsCutByDrain(),
        "I10" to releaseMismatches(),
    ).flatMap { (name, violations) -> violations.map { "$name: $it" } }

    /** Counts requests by the result code of the first answer, "complete" without a code, "none" without an answer. */
    fun outcomes(): Map<String, Int> = entries
        .groupingBy { e -> e.answers.firstOrNull()?.let { it.code?.name ?: "complete" } ?: "none" }
        .eachCount()

    fun describe(): String = entries.joinToString("\n") {
        "${it.id} ${it.organisation} ${it.arrivedAt} ${it.startedAt} ${it.answers}"
    }

    fun unreleasedMemory(): List<String> = fleet.backends.heldKv.keys
        .filter { (_, engineId) -> isFinished(engineId) }
        .map { (server, engineId) -> "$server still holds memory for $engineId" }

    fun duplicateAnswers(): List<String> =
        entries.filter { it.answers.size > 1 }.map { "${it.id} answered more than once: ${it.answers}" }

    fun startsAfterKeyWithdrawal(): List<String> = fleet.backends.starts.mapNotNull { start ->
        val key = history.entries[start.request]?.key
        val withdrawn = history.withdrawnKeys[key] ?: return@mapNotNull null
        "${start.request} started ${start.at - withdrawn} after its key was withdrawn".takeIf {
            start.at > withdrawn + PROPAGATION_LIMIT
        }
    }

    /**
     * Checks tokens used against rate and burst in every window that begins with an arrival.
     *
     * A request that arrived and started within a window was also admitted within it.
     */
    fun rateLimitOverruns(): List<String> = limits.flatMap { (organisation, limit) ->
        val used = entries.filter { it.organisation == organisation && it.startedAt != null && it.callKey == null }
        used.map { it.arrivedAt }.distinct().mapNotNull { from -> findOverrun(organisation, limit, used, from) }
    }

    fun incorrectAnswers(): List<String> {
        val incomplete = entries.filter { e -> e.callKey == null && e.answers.any { it.code == null } }
            .filter { it.deliveredTokens != it.expectedTokens || it.id in history.tokenGaps }
            .map { "${it.id} ended as complete with ${it.deliveredTokens} of ${it.expectedTokens} tokens" }
        val mismatched = entries.filter { e -> e.answers.any { it.body != null && it.body != "done ${e.callKey}" } }
            .map { "${it.id} got the reply of another call" }
        val unanswered = entries.filter { it.answers.isEmpty() && it.goneAt == null }
            .map { "${it.id} was never answered" }
        return incomplete + mismatched + unanswered
    }

    fun executionsAfterRefusal(): List<String> {
        val started = fleet.backends.starts.map { it.request }.toSet()
        return entries.filter { e -> e.id in started && e.answers.any { it.executed == Executed.NO } }
            .map { "${it.id} ran although it was refused as not executed: ${it.answers}" }
    }

    fun repeatedExecutions(): List<String> = entries.mapNotNull { it.callKey }.distinct()
        .map { key -> key to fleet.backends.starts.count { it.workId == key } }
        .filter { (_, runs) -> runs > 1 }
        .map { (key, runs) -> "$key ran $runs times" }

    fun startsOnLeavingServers(): List<String> = fleet.backends.starts.mapNotNull { start ->
        val leaving = history.leavingServers[start.server] ?: return@mapNotNull null
        "${start.server} received ${start.workId} ${start.at - leaving} after it was marked as leaving".takeIf {
            start.at > leaving + PROPAGATION_LIMIT
        }
    }

    fun requestsCutByDrain(): List<String> = history.drainTimeouts.map { "$it cut off requests in a planned stop" }

    fun releaseMismatches(): List<String> {
        val regressed = history.releases.groupBy { it.incarnation }.filterValues { seen ->
            seen.zipWithNext().any { (a, b) -> b.release < a.release }
        }.keys.map { "$it went back to an earlier release" }
        val newest = history.releases.maxOfOrNull { it.release } ?: ReleaseNumber(0)
        val behind = fleet.hosts.values.filter { it.alive && it.status?.release != newest }
            .map { "${it.member.incarnation} has release ${it.status?.release}, not $newest" }
        return regressed + behind
    }

    private fun isFinished(engineId: String): Boolean {
        val entry = entries.firstOrNull { engineId.startsWith("${it.id.value}.") } ?: return true
        val gone = entry.goneAt
        return entry.answers.isNotEmpty() || gone != null
    }

    private fun findOverrun(
        organisation: OrganisationId,
        limit: Limit,
        used: List<History.Entry>,
        from: Duration,
    ): String? {
        var sum = 0L
        for (entry in used.filter { it.arrivedAt >= from }.sortedBy { it.startedAt }) {
            sum += entry.promptTokens + entry.deliveredTokens
            val seconds = (checkNotNull(entry.startedAt) - from).inWholeMicroseconds / 1e6
            // The clocks of hosts drift by up to 1%.
            val allowed = limit.burst + limit.rate * seconds * CLOCK_DRIFT_FACTOR
            if (sum > allowed) return "$organisation used $sum tokens in $seconds s, $allowed are allowed"
        }
        return null
    }

    companion object {
        /** Freshness limit of 8 s plus the long poll of the log and network hops. */
        val PROPAGATION_LIMIT = 10.seconds
        const val CLOCK_DRIFT_FACTOR = 1.01
    }
}
