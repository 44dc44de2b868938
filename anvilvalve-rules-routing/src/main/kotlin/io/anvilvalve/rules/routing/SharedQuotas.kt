package io.anvilvalve.rules.routing

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import io.anvilvalve.api.id.Incarnation
import io.anvilvalve.api.peer.PeerMessage
import io.anvilvalve.api.peer.PlacementMessage
import io.anvilvalve.api.peer.SharedUsage
import io.anvilvalve.api.result.LogEvent
import io.anvilvalve.api.routing.OrganisationRule
import io.anvilvalve.api.routing.RecordedUsage
import kotlin.math.roundToInt
import kotlin.time.Duration

/** Quotas of all organisations, enforced by all hosts together. */
internal class SharedQuotas(
    private val out: Outbox,
    private val coordinators: Coordinators,
    private val terms: QuotaTerms,
) {
    /** Counts of the organisations of the configuration, and of others that have usage in the window. */
    private val quotas = LinkedHashMap<QuotaId, SharedQuota>()
    private val unconfigured = HashSet<QuotaId>()

    /** Usage for reports. */
    val usage: List<SharedUsage>
        get() = quotas.values.map { it.report(out.now) }

    /** Usage for totals. */
    val totals: List<SharedUsage>
        get() = quotas.values.map { it.total(out.now) }

    private var startedAt: Duration? = null
    private var adoptedFromPeer = false

    /** Whether this host knows the admissions of a whole window. */
    val settled: Boolean
        get() = adoptedFromPeer || startedAt?.let { out.now - it >= terms.window } == true

    /** Applies the [rules] of a configuration; the usage of organisations without one is still counted. */
    fun configure(rules: List<OrganisationRule>) {
        val next = rules.associateBy { it.quotaId }
        logChange(next.keys)
        if (startedAt == null) startedAt = out.now
        quotas.filterKeys { it !in next }.forEach { (id, quota) ->
            quota.withdraw()
            unconfigured += id
        }
        next.forEach { (id, rule) -> count(id).configure(rule, out.now) }
        unconfigured -= next.keys
    }

    /** Forgets organisations that are not in the configuration and have no usage left. */
    fun tick() {
        val empty = unconfigured.filter { quotas[it]?.isEmpty(out.now) != false }
        quotas.keys -= empty.toSet()
        unconfigured -= empty.toSet()
    }

    private fun count(id: QuotaId): SharedQuota = quotas.getOrPut(id) {
        unconfigured += id
        SharedQuota(id, terms, out.now)
    }

    /** The count that [usage] of another host belongs to; null if there is none and no usage. */
    private fun countOf(usage: SharedUsage): SharedQuota? =
        quotas[usage.quotaId] ?: if (usage.known > 0) count(usage.quotaId) else null

    private fun logChange(next: Set<QuotaId>) {
        val added = next.filter { quotas[it]?.isConfigured != true }
        val withdrawn = quotas.values.filter { it.isConfigured && it.id !in next }
        if (startedAt == null || added.size + withdrawn.size == 0) return
        out.log(
            LogEvent.QUOTAS_CHANGED,
            "added" to added.size,
            "withdrawn" to withdrawn.size,
            "first" to (added + withdrawn.map { it.id }).first().organisation,
            "used" to (added.mapNotNull { quotas[it] } + withdrawn).sumOf { it.used(out.now) },
        )
    }

    /** Stores the usage recorded before this start. It must be called before [configure]. */
    fun restore(usage: List<RecordedUsage>) {
        if (startedAt != null || usage.isEmpty()) return
        usage.forEach {
            quotas[it.quotaId] = SharedQuota(it.quotaId, terms, out.now, it)
            unconfigured += it.quotaId
        }
        out.log(
            LogEvent.USAGE_RESTORED,
            "organisations" to usage.size,
            "tokens" to usage.sumOf { it.slices.sum() },
        )
    }

    /** Whether the usage of an organisation near its quota has risen much since the last [records]. */
    fun anyHasRisen(): Boolean = quotas.values.any { it.hasRisen(out.now) }

    /** Usage of the largest organisations near their quota, to be written to the store now. */
    fun records(): List<RecordedUsage> {
        quotas.values.forEach { it.markRecorded(out.now) }
        return quotas.values.filter { it.isNear(out.now) }
            .sortedByDescending { it.used(out.now) }
            .take(MAX_RECORDS)
            .map { it.record(out.now) }
    }

    /** Reserves [cost] tokens for a request of [rule]; the left side is the time until they can be reserved. */
    fun reserve(rule: OrganisationRule, cost: Int): Either<Duration, QuotaReservation?> {
        val quota = quotas[rule.quotaId]?.takeIf { it.isLimited } ?: return null.right()
        val share = coordinators.fleetShare
        val used = quota.used(out.now)
        if (!quota.tryReserve(cost, share, out.now)) return quota.waitFor(cost, share, out.now).left()
        return QuotaReservation(quota.id, cost, out.now, used, coordinators.usageAge).right()
    }

    /** Log fields with the share of the quotas that this host may use, and the age of what it knows of the others. */
    fun stateFields(): Array<Pair<String, Any?>> = arrayOf(
        "quota_share" to (coordinators.fleetShare * PERCENT).roundToInt() / PERCENT,
        "usage_age_ms" to coordinators.usageAge?.inWholeMilliseconds,
    )

    /** Share of the requests like that of [reservation] that hosts may admit while they hear no coordinator; see [SharedQuota]. */
    fun unconfirmedShare(reservation: QuotaReservation): Double =
        quotas[reservation.id]?.unconfirmedShare(coordinators.fleetShare, out.now) ?: 1.0

    /** Usage of the organisation of [reservation] at this host, for a question to a coordinator. */
    fun usageOf(reservation: QuotaReservation): SharedUsage? = quotas[reservation.id]?.report(out.now)

    /**
     * Decides, as coordinator, on what the host [incarnation] has reserved for the request of [message]. Returns null if it is
     * within the quota, otherwise the time until it may be.
     */
    fun confirm(incarnation: Incarnation, message: PlacementMessage.Request): Duration? {
        val usage = message.usage ?: return null
        val quota = quotas[usage.quotaId]?.takeIf { it.isLimited } ?: return null
        val isCounted = quota.applyQuestion(incarnation, usage, out.now)
        val question = QuestionId(incarnation, message.number)
        return quota.confirm(question, message.quotaTokens, isCounted, coordinators.fleetShare, out.now)
    }

    /** Records that a host withdrew its [question] to this coordinator. */
    fun withdrawn(question: QuestionId) = quotas.values.forEach { it.withdrawn(question) }

    /** Tokens that all hosts admitted for [rule] in the last window, as far as this host knows. */
    fun used(rule: OrganisationRule): Long? = quotas[rule.quotaId]?.used(out.now)

    /** Releases a [reservation] whose request was not executed. */
    fun release(reservation: QuotaReservation) {
        quotas[reservation.id]?.release(reservation, out.now)
    }

    /** Applies a peer's report; [last] is its previous report, received at [lastAt], or null for the first. */
    fun applyReport(message: PeerMessage.Gossip, last: PeerMessage.Gossip?, lastAt: Duration?) {
        val isFollowing = lastAt != null && out.now - lastAt <= RoutingTimes.REPORT_TIMEOUT
        if (message.settled && !settled && startedAt != null) {
            adopt(message, isFollowing)
            return
        }
        val before = last?.usage?.associateBy { it.quotaId }
        val lower = message.usage.filterNot { usage -> applyUsage(message, usage, before, isFollowing) }
        lower.firstOrNull()?.let { logLower(message, lower.size, it, before?.get(it.quotaId)) }
    }

    /** Takes over the usage that a peer knows, because this host has just started. */
    private fun adopt(message: PeerMessage.Gossip, isFollowing: Boolean) {
        adoptedFromPeer = true
        for (usage in message.usage) {
            val quota = countOf(usage) ?: continue
            if (usage.recent != null) {
                quota.recordReport(message.member.incarnation, usage, isFollowing, out.now)
            }
            quota.replaceUsage(usage.known, out.now)
        }
    }

    /**
     * Applies the [usage] of one organisation, of which the peer's last report had [before]; returns false if it is lower.
     *
     * A lower count says nothing about what was admitted since the last report, nor does the first report of a settled
     * host, whose admissions may precede the window. Then the usage is at least the sum of what each host reports to have
     * admitted in the window. After a gap, e.g. a network cut, only the admissions in the window are counted.
     */
    private fun applyUsage(
        message: PeerMessage.Gossip,
        usage: SharedUsage,
        before: Map<QuotaId, SharedUsage>?,
        isFollowing: Boolean,
    ): Boolean {
        val quota = countOf(usage) ?: return true
        val incarnation = message.member.incarnation
        val known = before?.get(usage.quotaId)
        // A question may have told more than the last report.
        val change = UsageChange.between(known?.let { quota.latestUsage(incarnation) } ?: known, usage)
        val recent = usage.recent
        if (recent != null) quota.recordReport(incarnation, usage, isFollowing && change != null, out.now)
        when {
            change == null -> return false
            before == null && message.settled -> Unit
            before == null || isFollowing || recent == null -> quota.addPeerUsage(incarnation, change, out.now)
            else -> quota.addPeerUsageAfterGap(change.kept.coerceIn(0, recent), out.now)
        }
        return true
    }

    private fun logLower(message: PeerMessage.Gossip, organisations: Int, first: SharedUsage, before: SharedUsage?) =
        out.log(
            LogEvent.USAGE_REPORT_LOWER,
            "peer" to message.member.host,
            "organisations" to organisations,
            "first" to first.organisation,
            "admitted" to first.admitted,
            "before" to before?.admitted,
            "used" to quotas[first.quotaId]?.used(out.now),
        )

    /** Replaces the usage of the others by the highest one in [received], totals of coordinators. */
    fun applyTotals(received: List<Coordinators.ReceivedTotals>) {
        val (complete, partial) = received.partition { it.totals.settled }
        if (settled && complete.isEmpty()) return
        if (complete.isNotEmpty() && startedAt != null) adoptedFromPeer = true
        val known = HashMap<QuotaId, Long>()
        for (totals in complete.ifEmpty { partial }) {
            for (usage in totals.totals.usage) {
                if (countOf(usage) != null) {
                    known.merge(usage.quotaId, knownNow(usage, totals.age)) { a, b -> maxOf(a, b) }
                }
            }
        }
        known.forEach { (id, tokens) -> quotas[id]?.replaceUsage(tokens, out.now) }
    }

    /** Usage in totals received [age] ago, less the part that has left the window since then if it was spread evenly. */
    private fun knownNow(usage: SharedUsage, age: Duration): Long = (usage.known * (1.0 - age / terms.window)).toLong()

    private companion object {
        const val PERCENT = 100.0

        /** A record of 60 organisations takes about 8 KB; the slack covers the smaller quotas. */
        const val MAX_RECORDS = 60
    }
}
