package io.anvilvalve.rules.scheduling

import io.anvilvalve.api.peer.WorkClass
import io.anvilvalve.api.release.Model

/**
 * Chooses the servers for an attempt. A prefill starts only when a decode slot, KV pieces and link time are available
 * for its result within the result's lifetime, and the first token is predicted to meet its deadline.
 */
internal class Placer(private val settings: SchedulingSettings) {
    /** Finds a placement for [work] that can start at [now], or returns null when it has to wait. */
    fun place(work: Work, pool: Pool, available: AvailableServers, now: Long): Placement? {
        val prefill = bestPrefill(work, available, now) ?: return null
        val tokens = uncachedTokens(work, prefill)
        val micros = prefill.speed.predict(tokens).toLong()
        val readyAt = prefill.prefillFreeAt(now) + micros
        if (work.item.workClass == WorkClass.BATCH && blocksInteractive(pool, prefill, readyAt, now)) return null
        return withDecode(work, pool, available, Source(prefill, readyAt, micros, tokens), now)
    }

    /** Finds a decode server for [work], whose prefill result is already at [holder]. */
    fun placeDecode(work: Work, pool: Pool, available: AvailableServers, holder: ServerState, now: Long): Placement? =
        withDecode(work, pool, available, Source(holder, now, 0, 0.0), now)

    /** Shortest predicted time of prefill and KV transfer on idle servers, or null when no server can run [work]. */
    fun bestCaseMicros(work: Work, pool: Pool): Long? {
        var prefill = Double.MAX_VALUE
        for (server in pool.prefills) {
            if (hasAdapter(server, work)) prefill = minOf(prefill, server.speed.predict(uncachedTokens(work, server)))
        }
        var transfer = Long.MAX_VALUE
        for (server in pool.decodes) {
            if (hasAdapter(server, work)) transfer = minOf(transfer, transferMicros(work, pool.model, server, server))
        }
        return if (prefill == Double.MAX_VALUE || transfer == Long.MAX_VALUE) null else prefill.toLong() + transfer
    }

    /** Selects the servers of [pool] that may have capacity at [now]. */
    fun availableServers(pool: Pool, now: Long): AvailableServers {
        val decodes = pool.decodes.filter { server ->
            val excess = server.held + 1 - server.decodeLimit(now)
            excess <= 0 || (settings.overbooking && excess <= Overbooking.LIMIT && mayOverbook(server, excess, now))
        }
        if (decodes.isEmpty()) return AvailableServers(emptyList(), emptyList())
        return AvailableServers(pool.prefills.filter { canPrefill(it, now) }, decodes)
    }

    private fun mayOverbook(server: ServerState, excess: Int, now: Long): Boolean =
        excess <= Overbooking.allowed(server.expectedEnds(MAX_WINDOW_MICROS, now))

    private fun canPrefill(server: ServerState, now: Long): Boolean {
        val depth = minOf(settings.prefillDepth, server.server.slots, server.breaker.concurrencyLimit(now))
        return server.held < depth && server.prefillFreeAt(now) - now <= settings.prefillLead.inWholeMicroseconds
    }

    /** Whether a slot is free, or is predicted to become free in time for the result of [source]. */
    private fun canDecode(server: ServerState, source: Source, work: Work, now: Long): Boolean {
        val limit = server.decodeLimit(now)
        if (server.held < limit) return true
        val excess = server.held + 1 - limit
        if (!settings.overbooking || limit <= 0 || excess > Overbooking.LIMIT || source.micros == 0L) return false
        val lifetime = (settings.resultLifetime.inWholeMicroseconds * USABLE_LIFETIME_SHARE).toLong()
        val latest = minOf(source.readyAt + lifetime, work.deadline - DEADLINE_MARGIN_MICROS)
        return latest > now && excess <= Overbooking.allowed(server.expectedEnds(latest - now, now))
    }

    /**
     * Whether every prefill server would be busy for longer than [SchedulingSettings.batchPrefillWait] if [chosen] were
     * busy until [until].
     */
    private fun blocksInteractive(pool: Pool, chosen: ServerState, until: Long, now: Long): Boolean {
        val latest = now + settings.batchPrefillWait.inWholeMicroseconds
        if (until <= latest) return false
        val others = pool.prefills.filter { it !== chosen }
        return others.isNotEmpty() && others.none { it.prefillFreeAt(now) <= latest }
    }

    private fun bestPrefill(work: Work, available: AvailableServers, now: Long): ServerState? {
        var best: ServerState? = null
        var bestScore = Double.MAX_VALUE
        for (server in available.prefills) {
            if (!canPrefill(server, now) || !hasAdapter(server, work)) continue
            if (server.freeKv(now) < work.promptPieces) continue
            val finish = server.prefillFreeAt(now) - now + server.speed.predict(uncachedTokens(work, server))
            if (now + finish > work.deadline) continue
            val score = finish + penalty(server, work)
            if (score < bestScore) {
                best = server
                bestScore = score
            }
        }
        return best
    }

    private fun withDecode(work: Work, pool: Pool, available: AvailableServers, source: Source, now: Long): Placement? {
        var best: ServerState? = null
        var bestScore = Double.MAX_VALUE
        for (server in available.decodes) {
            if (!hasAdapter(server, work) || !canDecode(server, source, work, now)) continue
            if (server.freeKv(now) < work.kvPieces) continue
            val score = decodeScore(server, source, work, now)
            if (score < bestScore && transfer(work, pool.model, source, server) != null) {
                best = server
                bestScore = score
            }
        }
        val decode = best ?: return null
        val transfer = transfer(work, pool.model, source, decode) ?: return null
        return Placement(source.server, decode, source.micros, source.tokens, transfer)
    }

    private fun decodeScore(server: ServerState, source: Source, work: Work, now: Long): Double {
        val load = (server.held + 1.0) / server.decodeLimit(now).coerceAtLeast(1)
        val sameCentre = server.server.dataCentre == source.server.server.dataCentre
        val retryPenalty = if (work.avoidedServer === server) AVOIDED_SERVER_LOAD_PENALTY else 0.0
        return load + retryPenalty + if (sameCentre) 0.0 else CROSS_CENTRE_LOAD_PENALTY
    }

    /** Transfer on both links, or null when the result would expire or the first token would miss its deadline. */
    private fun transfer(work: Work, model: Model, source: Source, decode: ServerState): LinkSchedule.Transfer? {
        val duration = transferMicros(work, model, source.server, decode)
        val latest = source.readyAt + settings.resultLifetime.inWholeMicroseconds
        var start = source.readyAt
        while (start + duration <= latest) {
            val next = decode.link.earliestStart(source.server.link.earliestStart(start, duration), duration)
            if (next == start) {
                val firstToken = start + duration + decode.speed.predict(decode.held + 1.0).toLong()
                return if (firstToken <= work.deadline) LinkSchedule.Transfer(start, start + duration) else null
            }
            start = next
        }
        return null
    }

    private fun transferMicros(work: Work, model: Model, from: ServerState, to: ServerState): Long {
        val rate = minOf(from.server.linkBytesPerSecond, to.server.linkBytesPerSecond).coerceAtLeast(1)
        val bytes = work.item.promptTokens * model.kvBytesPerToken
        return (bytes.toDouble() * MICROS_PER_SECOND / rate * maxOf(from.linkFactor, to.linkFactor)).toLong()
    }

    private fun uncachedTokens(work: Work, server: ServerState): Double {
        val hits = server.prefixes.expectedHits(work.item.prefixHashes) * Work.PIECE_TOKENS
        return (work.item.promptTokens - hits).coerceAtLeast(1.0)
    }

    private fun hasAdapter(server: ServerState, work: Work): Boolean =
        work.item.adapter == null || work.item.adapter in server.server.adapters

    private fun penalty(server: ServerState, work: Work): Double {
        val otherCentre = server.server.dataCentre != work.item.originDataCentre
        val retryPenalty = if (work.avoidedServer === server) AVOIDED_SERVER_PENALTY_MICROS else 0.0
        return retryPenalty + if (otherCentre) settings.crossCentrePenalty.inWholeMicroseconds.toDouble() else 0.0
    }

    /** The server that has or will have a prefill result, and the time at which the result is ready. */
    private class Source(val server: ServerState, val readyAt: Long, val micros: Long, val tokens: Double)

    private companion object {
        /** Share of the result lifetime within which an overbooked decode slot must be predicted to become free. */
        const val USABLE_LIFETIME_SHARE = 0.85

        /** Longest time from the start of a prefill to the latest start of its decode. */
        const val MAX_WINDOW_MICROS = 5_000_000L
        const val DEADLINE_MARGIN_MICROS = 100_000L
        const val MICROS_PER_SECOND = 1_000_000.0

        /** Added to the load of a decode server, which is the ratio of held slots to its limit. */
        const val CROSS_CENTRE_LOAD_PENALTY = 0.1
        const val AVOIDED_SERVER_LOAD_PENALTY = 10.0
        const val AVOIDED_SERVER_PENALTY_MICROS = 1_000_000.0
    }
}
