package io.anvilvalve.rules.scheduling

import io.anvilvalve.api.Reducer
import io.anvilvalve.api.RetryBudget
import io.anvilvalve.api.id.BackendServerId
import io.anvilvalve.api.id.HostId
import io.anvilvalve.api.id.ModelId
import io.anvilvalve.api.id.RequestId
import io.anvilvalve.api.peer.Phase
import io.anvilvalve.api.peer.PlacementOutcome.Placed
import io.anvilvalve.api.peer.PlacementOutcome.Refused
import io.anvilvalve.api.peer.WorkClass
import io.anvilvalve.api.release.Role
import io.anvilvalve.api.result.ResultCode
import io.anvilvalve.rules.scheduling.SchedulingEffect.HealthChanged
import io.anvilvalve.rules.scheduling.SchedulingEffect.Reply
import kotlin.time.Duration

/** Scheduler of the pools that a host owns: queues submitted requests and places them on prefill and decode servers. */
class PoolScheduler(private val settings: SchedulingSettings = SchedulingSettings()) :
    Reducer<SchedulingEvent, SchedulingEffect> {
    private val servers = LinkedHashMap<BackendServerId, ServerState>()
    private val pools = LinkedHashMap<ModelId, Pool>()
    private val workTable = WorkTable(settings)
    private val placer = Placer(settings)
    private val occupancy = Occupancy(settings)
    private val retries = RetryBudget(settings.retryRatio, settings.retryBurst)
    private var effects = ArrayList<SchedulingEffect>()

    override fun reduce(event: SchedulingEvent, now: Duration): List<SchedulingEffect> {
        val micros = now.inWholeMicroseconds
        when (event) {
            is SchedulingEvent.Submitted -> onSubmitted(event, micros)
            is SchedulingEvent.Progressed -> onProgressed(event, micros)
            is SchedulingEvent.RunningAnnounced -> onRunningAnnounced(event, micros)
            is SchedulingEvent.Withdrawn -> onWithdrawn(event.id, micros)
            is SchedulingEvent.OriginRemoved -> onOriginRemoved(event.origin, micros)
            is SchedulingEvent.ServersChanged -> onServersChanged(event, micros)
            is SchedulingEvent.LoadReported -> onLoadReported(event, micros)
            is SchedulingEvent.CacheReported -> servers[event.server]?.prefixes?.applyEvents(event.events)
            is SchedulingEvent.ServerFailed -> servers[event.server]?.let { recordFailure(it, micros) }
            SchedulingEvent.Tick -> onTick(micros)
        }
        if (effects.isEmpty()) return emptyList()
        return effects.also { effects = ArrayList() }
    }

    /** Number of attempts and KV pieces held at each server. */
    internal fun heldByServer(): Map<BackendServerId, Pair<Int, Int>> =
        servers.mapValues { (_, state) -> state.held to state.kvHeld }

    internal fun waiting(): Int = pools.values.sumOf { it.queue.size }

    private fun onSubmitted(event: SchedulingEvent.Submitted, now: Long) {
        val earlier = workTable[event.item.id]
        if (earlier != null && event.attempt <= earlier.attempt) return repeatReply(earlier, event.attempt)
        val work = Work(event.item, event.attempt, now)
        val pool = pools[event.item.model]
        when {
            pool == null -> return refuse(work, ResultCode.UNKNOWN_MODEL, now)
            !pool.hasServers -> return refuse(work, ResultCode.NO_BACKEND_SERVER, now)
        }
        work.answerLengths = pool.answerLengths(work.item.workClass)
        if (earlier != null) replace(earlier, work, now)
        if (earlier?.placed == null) {
            retries.recordFirstAttempt()
        } else if (work.resultUntil <= now && !retries.tryReserveRetry()) {
            return refuse(work, ResultCode.NO_BACKEND_SERVER, now)
        }
        enqueue(work, pool, now)
    }

    private fun enqueue(work: Work, pool: Pool, now: Long) {
        val bestCaseMicros = if (work.resultUntil > now) 0 else placer.bestCaseMicros(work, pool) ?: 0
        // A prompt that would miss its deadline even on an idle server still runs, so that its prefill time is
        // observed. Otherwise a wrong estimate would never be corrected, and every prompt of this length would be
        // refused for ever. Such a prompt may wait for its start as long as others may wait for their first token.
        if (now + bestCaseMicros > work.deadline) work.deadline += bestCaseMicros
        work.latestStart = work.deadline - bestCaseMicros
        // The slack lets the prefill start before a decode slot is free, and covers errors of the estimates.
        val slack = work.item.firstTokenBudgetMicros * settings.deadlineSlack
        val latest = work.latestStart - minOf(slack.toLong(), settings.resultLifetime.inWholeMicroseconds)
        if (latest > now) work.latestStart = latest
        when {
            work.latestStart < now -> refuse(work, ResultCode.DEADLINE_UNREACHABLE, now)

            !pool.queue.offer(work) -> refuse(work, ResultCode.QUEUE_FULL, now)

            else -> {
                workTable.put(work)
                placeWaiting(pool, now)
            }
        }
    }

    /** Repeats the reply when the origin may not have received it. */
    private fun repeatReply(work: Work, attempt: Int) {
        if (attempt != work.attempt || work.started) return
        work.refused?.let { effects.add(Reply(work.item.origin, work.item.id, attempt, it)) }
        if (!work.ended) work.placed?.let { reply(work, it) }
    }

    /** Ends the [earlier] attempt and lets [work] use its prefill result until the result expires. */
    private fun replace(earlier: Work, work: Work, now: Long) {
        end(earlier, now)
        work.avoidedServer = earlier.failedServer
        if (earlier.resultUntil > now) {
            work.resultUntil = earlier.resultUntil
            work.prefill = earlier.prefill
        }
    }

    private fun onProgressed(event: SchedulingEvent.Progressed, now: Long) {
        val work = workTable[event.id] ?: return
        if (work.attempt != event.attempt || work.ended || work.placed == null) return
        val result = occupancy.applyProgress(work, event, now)
        result.succeeded?.let { recordSuccess(it) }
        result.failed?.let {
            work.failedServer = it
            recordFailure(it, now)
        }
        if (work.ended) workTable.markEnded(work, now)
        if (event.phase == Phase.DECODE_FINISHED) pools[work.item.model]?.queue?.settle(work, event.tokens)
        // The other phases release neither a slot nor prefill time.
        if (work.ended || event.phase == Phase.PREFILL_FINISHED) placeWaitingInAllPools(now)
    }

    private fun onRunningAnnounced(event: SchedulingEvent.RunningAnnounced, now: Long) {
        val earlier = workTable[event.item.id]
        val known = earlier != null && (earlier.ended || earlier.placed != null) && event.attempt <= earlier.attempt
        if (known) return
        if (earlier != null) end(earlier, now)
        val work = Work(event.item, event.attempt, now)
        occupancy.adopt(work, event.placed, servers[event.placed.prefill], servers[event.placed.decode], now)
        workTable.put(work)
    }

    private fun onWithdrawn(id: RequestId, now: Long) {
        end(workTable[id] ?: return, now)
        placeWaitingInAllPools(now)
    }

    private fun onOriginRemoved(origin: HostId, now: Long) {
        workTable.live().filter { it.item.origin == origin }.forEach { end(it, now) }
        placeWaitingInAllPools(now)
    }

    private fun onServersChanged(event: SchedulingEvent.ServersChanged, now: Long) {
        servers.values.forEach { it.removed = true }
        for (server in event.servers.filter { it.role != Role.SERVICE }) {
            val known = servers[server.id]?.takeIf { it.server.role == server.role }
            val state = known ?: ServerState(server, settings)
            state.server = server
            state.removed = false
            servers[server.id] = state
        }
        servers.values.removeIf { it.removed && it.held == 0 }
        val models = event.models.associateBy { it.id }
        (pools.keys - models.keys).forEach { removePool(it, now) }
        models.values.forEach { model ->
            val pool = pools.getOrPut(model.id) { Pool(model, FairQueue(settings)) }
            pool.model = model
            pool.setMembers(servers.values.filter { !it.removed && model.id in it.server.models })
        }
        placeWaitingInAllPools(now)
    }

    private fun removePool(model: ModelId, now: Long) {
        val pool = pools.remove(model) ?: return
        pool.queue.removeExpired(Long.MAX_VALUE).forEach { refuse(it, ResultCode.UNKNOWN_MODEL, now) }
    }

    private fun onLoadReported(event: SchedulingEvent.LoadReported, now: Long) {
        if (servers[event.server]?.load?.applyReport(event.report, now) != true) return
        pools.values.forEach { it.refresh() }
        placeWaitingInAllPools(now)
    }

    private fun onTick(now: Long) {
        for (work in workTable.timedOut(now)) end(work, now)
        placeWaitingInAllPools(now)
    }

    private fun placeWaitingInAllPools(now: Long) = pools.values.forEach { placeWaiting(it, now) }

    /** Refuses expired work of [pool] and places waiting work while servers have capacity. */
    private fun placeWaiting(pool: Pool, now: Long) {
        if (pool.queue.size == 0) return
        for (expired in pool.queue.removeExpired(now)) refuse(expired, ResultCode.DEADLINE_UNREACHABLE, now)
        val available = placer.availableServers(pool, now)
        while (pool.queue.size > 0 && available.decodes.isNotEmpty()) {
            val candidates = pool.queue.candidates().take(available.candidateLimit)
            val work = candidates.firstOrNull { tryPlace(it, pool, available, now) } ?: return
            reply(work, checkNotNull(work.placed))
        }
    }

    private fun tryPlace(work: Work, pool: Pool, available: AvailableServers, now: Long): Boolean {
        val holder = work.prefill?.takeIf { work.resultUntil > now && it.breaker.healthy }
        val placement = if (holder != null) {
            placer.placeDecode(work, pool, available, holder, now)
        } else {
            placer.place(work, pool, available, now)
        }
        if (placement == null) return false
        pool.queue.dispatch(work, now)
        val priority = if (work.item.workClass == WorkClass.BATCH) BATCH_PRIORITY else INTERACTIVE_PRIORITY
        work.placed = Placed(placement.prefill.server.id, placement.decode.server.id, priority)
        occupancy.reserve(work, placement, now)
        return true
    }

    private fun end(work: Work, now: Long) {
        if (work.ended) return
        if (work.placed == null) pools[work.item.model]?.queue?.remove(work)
        occupancy.release(work, now)
        workTable.markEnded(work, now)
    }

    private fun refuse(work: Work, code: ResultCode, now: Long) {
        work.state = Work.State.ENDED
        workTable.put(work)
        workTable.markEnded(work, now)
        val refused = Refused(code)
        work.refused = refused
        effects.add(Reply(work.item.origin, work.item.id, work.attempt, refused))
    }

    private fun reply(work: Work, placed: Placed) {
        effects.add(Reply(work.item.origin, work.item.id, work.attempt, placed))
    }

    private fun recordSuccess(server: ServerState) {
        if (server.breaker.recordSuccess()) effects.add(HealthChanged(server.server.id, true))
    }

    private fun recordFailure(server: ServerState, now: Long) {
        if (server.breaker.recordFailure(now)) effects.add(HealthChanged(server.server.id, false))
    }

    private companion object {
        const val INTERACTIVE_PRIORITY = 0
        const val BATCH_PRIORITY = 1
    }
}
