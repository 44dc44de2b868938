package io.anvilvalve.rules.routing

import io.anvilvalve.api.peer.ServerOutcome
import io.anvilvalve.api.routing.Backend
import io.anvilvalve.api.routing.EngineSpec
import io.anvilvalve.api.routing.ServiceId
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * Records how calls to backend servers end, at this host and at the others, so that a slow or failing server is known
 * after a few calls of the whole fleet.
 */
internal class ServerOutcomes(
    private val out: Outbox,
    private val directory: Directory,
    private val placement: Placement,
    private val balance: StageBalance,
    private val slowness: ServerSlowness,
    private val engineOf: (ServiceId) -> EngineSpec?,
) {
    private val pending = ArrayList<ServerOutcome>()

    /** Records an answer; [costPercent] is its expected cost in percent of the mean cost at the service. */
    fun answered(server: Backend, elapsed: Duration, memoryTokens: Int, costPercent: Int) =
        record(server, ServerOutcome.Kind.ANSWERED, elapsed, memoryTokens, costPercent = costPercent)

    fun prefilled(server: Backend, elapsed: Duration, processedTokens: Int, promptTokens: Int) =
        record(server, ServerOutcome.Kind.PREFILLED, elapsed, processedTokens, promptTokens)

    fun failed(server: Backend) = record(server, ServerOutcome.Kind.FAILED)

    fun rejected(server: Backend) = record(server, ServerOutcome.Kind.REJECTED)

    /** Applies outcomes that another host reports. */
    fun applyReport(outcomes: List<ServerOutcome>) = outcomes.forEach { outcome ->
        directory[outcome.server]?.let { apply(it, outcome) }
    }

    /** Outcomes at this host since the last call, for reporting to other hosts. */
    fun drain(): List<ServerOutcome> = pending.toList().also { pending.clear() }

    private fun record(
        server: Backend,
        kind: ServerOutcome.Kind,
        elapsed: Duration = Duration.ZERO,
        tokens: Int = 0,
        promptTokens: Int = 0,
        costPercent: Int = 100,
    ) {
        val millis = elapsed.inWholeMilliseconds.toInt()
        val outcome = ServerOutcome(server.id, kind, millis, tokens, promptTokens, costPercent)
        if (pending.size < MAX_PENDING) pending += outcome
        apply(server, outcome)
    }

    private fun apply(server: Backend, outcome: ServerOutcome) {
        val health = placement.health(server)
        val elapsed = outcome.millis.milliseconds
        // The time at usual speed, because the present speed is known apart from it.
        val usualTime = elapsed / slowness.factor(server.id)
        when (outcome.kind) {
            ServerOutcome.Kind.ANSWERED -> {
                health.succeeded(out.now)
                health.recordServiceTime(out.now, usualTime * PERCENT / outcome.costPercent.coerceAtLeast(1))
                engineOf(server.service)?.let { balance.recordDecode(elapsed, outcome.tokens, it) }
            }

            ServerOutcome.Kind.PREFILLED -> {
                health.succeeded(out.now)
                if (outcome.tokens > 0) {
                    health.recordServiceTime(out.now, usualTime * TOKENS_PER_UNIT / outcome.tokens)
                    balance.recordPrefill(elapsed * outcome.promptTokens / outcome.tokens)
                }
            }

            ServerOutcome.Kind.FAILED -> health.failed(out.now, leastFailureShareBeside(server))

            ServerOutcome.Kind.REJECTED -> health.rejected(out.now)
        }
    }

    private fun leastFailureShareBeside(server: Backend): Double? = directory.of(server.service)
        .filter { it.id != server.id && it.stage == server.stage && !it.leaving }
        .map(placement::health).filterNot { it.isUnreachable(out.now) }.minOfOrNull { it.failureShare }

    private companion object {
        const val TOKENS_PER_UNIT = 1_000
        const val PERCENT = 100

        /** Limits a message after a time without peers; the oldest outcomes decide nothing any more. */
        const val MAX_PENDING = 100
    }
}
