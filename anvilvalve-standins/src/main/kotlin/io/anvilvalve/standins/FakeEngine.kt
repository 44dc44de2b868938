package io.anvilvalve.standins

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import io.anvilvalve.api.port.BackendFault
import io.anvilvalve.api.port.CacheEvent
import io.anvilvalve.api.port.EngineOrder
import io.anvilvalve.api.port.EngineRequest
import io.anvilvalve.api.port.EngineTarget
import io.anvilvalve.api.port.KvHandle
import io.anvilvalve.api.port.LoadReport
import io.anvilvalve.api.port.TokenChunk
import io.anvilvalve.api.release.Role
import io.anvilvalve.api.result.Executed
import kotlinx.coroutines.flow.Flow
import kotlinx.coroutines.flow.FlowCollector
import kotlinx.coroutines.flow.flow
import kotlinx.coroutines.withTimeoutOrNull
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TimeSource

/**
 * Simulated engine with continuous batching, limited by slots and KV memory, that generates [AnswerText].
 *
 * It starts no threads or coroutines: all delays run in the callers' coroutines. It is thread-safe.
 */
class FakeEngine(
    val name: String,
    val config: EngineConfig = EngineConfig(),
    private val network: KvNetwork = LocalKvNetwork(),
    timeSource: TimeSource = TimeSource.Monotonic,
) {
    /** Faults to inject. */
    val faults = EngineFaults()

    /** Address put into prefill results, from which decode engines fetch the KV cache. */
    @Volatile
    var address: EngineAddress = EngineAddress("127.0.0.1", 0)

    /** Whether load reports announce that the engine is leaving; it still accepts new requests. */
    @Volatile
    var leaving: Boolean = false

    @Volatile
    private var dead = false
    private val start = timeSource.markNow()
    private val usage = UsageHistory(config.loadInterval)
    private val scheduler = EngineScheduler(config) { usage.record(now(), it) }
    private val cancelled = CancelledAttempts()
    private val cache = PrefixCache(config.cachePieces, config.cacheEventLag, faults.lostCacheEvents::consume)
    private val link = SharedLink(config.linkBytesPerSecond)
    private val orders = OrderState(
        EngineTarget(config.role, config.models),
        config.checksFencing,
        config.orderTime,
    )

    init {
        if (network is LocalKvNetwork) network.register(this)
    }

    /** Highest number of requests decoded at once so far. */
    val peakSlots: Int get() = scheduler.peakSlots

    /** Highest number of KV pieces in use at once so far. */
    val peakPieces: Int get() = scheduler.peakPieces

    /** Computes the prompt and keeps the KV cache until its transfer or [EngineConfig.kvLifetime] has passed. */
    suspend fun prefill(request: EngineRequest): Either<BackendFault, KvHandle> {
        refusal(request, Role.PREFILL)?.let { return it.left() }
        val pieces = PromptTokens.pieces(request.promptTokens + request.resumeFrom)
        val attempt = enqueue(request, prefill = true, pieces) ?: return QUEUE_FULL.left()
        var exported = false
        try {
            if (!awaitAdmission(attempt)) return terminationFault(attempt).left()
            computePrompt(attempt, request)
            exported = scheduler.export(attempt, now() + config.kvLifetime)
        } finally {
            if (!exported) scheduler.release(attempt)
        }
        if (!exported) return terminationFault(attempt).left()
        if (faults.lostPrefillAnswers.consume()) return CONNECTION_CLOSED.left()
        return kvHandle(request, pieces).right()
    }

    /** Imports [kv], or computes the prompt when it is null, and streams the tokens. */
    fun decode(request: EngineRequest, kv: KvHandle?): Flow<Either<BackendFault, TokenChunk>> = flow {
        val refusal = refusal(request, Role.DECODE)
        val pieces = PromptTokens.pieces(request.promptTokens + request.maxTokens)
        val attempt = if (refusal == null) enqueue(request, prefill = false, pieces) else null
        if (attempt == null) {
            emit((refusal ?: QUEUE_FULL).left())
            return@flow
        }
        try {
            val fault = if (awaitAdmission(attempt)) preparePrompt(attempt, request, kv) else terminationFault(attempt)
            if (fault == null) stream(attempt, request) else emit(fault.left())
        } finally {
            scheduler.release(attempt)
        }
    }

    /** Frees all memory of the attempt [engineId], and refuses the attempt if it arrives after this call. */
    fun cancel(engineId: String): Either<BackendFault, Unit> {
        if (dead) return CONNECTION_REFUSED.left()
        cancelled.add(engineId)
        scheduler.terminate(engineId, Termination.CANCELLED)
        return if (faults.lostCancelAnswers.consume()) CONNECTION_CLOSED.left() else Unit.right()
    }

    /** Returns the latest load report, which is at most [EngineConfig.loadInterval] old. */
    fun load(): Either<BackendFault, LoadReport> = ifAlive {
        scheduler.expire(now())
        val at = now()
        val sequence = (at / config.loadInterval).toLong()
        val writtenAt = config.loadInterval * sequence.toDouble()
        val then = usage.at(writtenAt)
        LoadReport(
            sequence = sequence,
            running = then.running,
            waiting = then.waiting,
            kvPiecesFree = config.kvPieces - then.pieces,
            kvPiecesTotal = config.kvPieces,
            models = orders.state(at).models.keys.toList(),
            leaving = leaving,
            ageMillis = (at - writtenAt).inWholeMilliseconds,
        )
    }

    /** Returns the readable cache events after sequence number [after]. */
    fun cacheEvents(after: Long): Either<BackendFault, List<CacheEvent>> = ifAlive { cache.events(after, now()) }

    /** Accepts an order to change role and models; fails with status 409 if its fencing token is outdated. */
    fun order(order: EngineOrder): Either<BackendFault, Unit> {
        if (dead) return CONNECTION_REFUSED.left()
        if (!orders.accept(order, now())) return STALE_FENCING.left()
        return if (faults.lostOrderAnswers.consume()) CONNECTION_CLOSED.left() else Unit.right()
    }

    /** Returns the current role and models; an order takes effect after [EngineConfig.orderTime]. */
    fun state(): Either<BackendFault, EngineTarget> = ifAlive { orders.state(now()) }

    /** Returns the ids of the attempts that hold KV memory. */
    fun held(): List<String> {
        scheduler.expire(now())
        return scheduler.held()
    }

    /** Breaks all streams, frees all memory and refuses connections until [revive] is called. */
    fun kill() {
        dead = true
        scheduler.terminateAll(Termination.KILLED)
        cache.clear()
    }

    /** Accepts connections again after [kill]. */
    fun revive() {
        dead = false
    }

    /** Starts the transfer of a prefill result; returns its time on this link, or null if it was already freed. */
    internal fun beginExport(engineId: String): Duration? {
        scheduler.expire(now())
        val attempt = scheduler.extend(engineId, now() + config.transferLimit) ?: return null
        return link.reserve(bytes(attempt.pieces), now())
    }

    /** Ends the transfer of a prefill result and frees it; returns false if it was already freed. */
    internal fun endExport(engineId: String): Boolean {
        scheduler.expire(now())
        return scheduler.releaseExport(engineId)
    }

    private fun now(): Duration = start.elapsedNow()

    private fun <T> ifAlive(answer: () -> T): Either<BackendFault, T> =
        if (dead) CONNECTION_REFUSED.left() else answer().right()

    private fun refusal(request: EngineRequest, role: Role): BackendFault? {
        val state = orders.state(now())
        return when {
            dead -> CONNECTION_REFUSED
            faults.refusesAll || faults.refusals.consume() -> REFUSED
            request.engineId in cancelled -> CANCELLED_BEFORE
            state.role != role -> WRONG_ROLE
            request.model !in state.models -> UNKNOWN_MODEL
            request.resumeFrom !in 0 until request.maxTokens -> BAD_RANGE
            PromptTokens.pieces(request.promptTokens + request.maxTokens) > config.kvPieces -> TOO_LARGE
            else -> null
        }
    }

    private fun enqueue(request: EngineRequest, prefill: Boolean, pieces: Int): Attempt? {
        scheduler.expire(now())
        val attempt = scheduler.enqueue(request.engineId, prefill, pieces, request.priority)
        // A cancel that arrives between the check in refusal() and the enqueueing would otherwise be missed.
        if (attempt != null && request.engineId in cancelled) scheduler.terminate(attempt.id, Termination.CANCELLED)
        return attempt
    }

    private suspend fun awaitAdmission(attempt: Attempt): Boolean {
        while (!attempt.admitted.isCompleted) {
            val expiry = scheduler.nextExpiry()?.let { it - now() } ?: config.kvLifetime
            withTimeoutOrNull(minOf(expiry, config.kvLifetime)) { attempt.admitted.await() }
            scheduler.expire(now())
        }
        return attempt.admitted.await()
    }

    private suspend fun preparePrompt(attempt: Attempt, request: EngineRequest, kv: KvHandle?): BackendFault? {
        if (kv == null) {
            computePrompt(attempt, request)
        } else if (!importKv(attempt, kv)) {
            return KV_GONE
        }
        return if (attempt.terminationReason == null) null else terminationFault(attempt)
    }

    private suspend fun computePrompt(attempt: Attempt, request: EngineRequest) {
        val hashes = PromptTokens.prefixHashes(request.prompt)
        val cached = cache.match(hashes) * PromptTokens.TOKENS_PER_PIECE
        val tokens = maxOf(1, request.promptTokens + request.resumeFrom - cached)
        attempt.pause((tokens / config.prefillTokensPerSecond).seconds)
        if (attempt.terminationReason == null) cache.store(hashes, now())
    }

    private suspend fun importKv(attempt: Attempt, kv: KvHandle): Boolean {
        val sending = network.begin(kv) ?: return false
        val receiving = link.reserve(bytes(kv.pieces), now())
        attempt.pause(maxOf(sending, receiving))
        if (faults.stalledTransfers.consume()) attempt.terminated.await()
        // After a cancelled import the sender keeps the result until it is cancelled there as well or expires.
        return attempt.terminationReason != null || network.end(kv)
    }

    private suspend fun FlowCollector<Either<BackendFault, TokenChunk>>.stream(
        attempt: Attempt,
        request: EngineRequest,
    ) {
        val pace = TokenPace { tokenTime() }
        val breakAt =
            if (faults.brokenStreams.consume()) request.resumeFrom + faults.breakAfterTokens else Int.MAX_VALUE
        val delivery = ChunkDelivery(faults)
        for (chunk in chunks(request)) {
            pace.awaitNext(now())
            if (attempt.terminationReason == Termination.CANCELLED) return emit(CANCELLED.left())
            if (attempt.terminationReason == Termination.KILLED || chunk.index >= breakAt) return
            for (delivered in delivery.chunksToDeliver(chunk)) emit(delivered.right())
        }
    }

    private fun chunks(request: EngineRequest): Sequence<TokenChunk> {
        val seed = AnswerText.seed(request.model, request.prompt)
        val stops = config.stopAfter != null && config.stopAfter < request.maxTokens
        val end = if (stops) maxOf(config.stopAfter, request.resumeFrom + 1) else request.maxTokens
        val reason = if (stops) "stop" else "length"
        return (request.resumeFrom until end).asSequence().map { index ->
            TokenChunk(index, AnswerText.token(seed, index), reason.takeIf { index == end - 1 })
        }
    }

    private fun tokenTime(): Duration = config.tokenTime + config.tokenTimePerRequest * usage.latest.running

    private fun kvHandle(request: EngineRequest, pieces: Int) = KvHandle(
        engineId = name,
        requestId = request.engineId,
        host = address.host,
        port = address.port,
        pieces = pieces,
        expiresMillis = config.kvLifetime.inWholeMilliseconds,
    )

    private fun bytes(pieces: Int): Long = pieces * PromptTokens.TOKENS_PER_PIECE * config.kvBytesPerToken

    private fun terminationFault(attempt: Attempt): BackendFault =
        if (attempt.terminationReason == Termination.KILLED) CONNECTION_CLOSED else CANCELLED

    private companion object {
        val CONNECTION_REFUSED = BackendFault(Executed.NO, "connection refused")
        val CONNECTION_CLOSED = BackendFault(Executed.UNKNOWN, "connection closed")
        val REFUSED = BackendFault(Executed.NO, "the engine takes no work", status = 503)
        val QUEUE_FULL = BackendFault(Executed.NO, "the queue is full or the attempt is known", status = 429)
        val CANCELLED_BEFORE = BackendFault(Executed.NO, "the attempt was cancelled before it came", status = 499)
        val CANCELLED = BackendFault(Executed.UNKNOWN, "the attempt was cancelled", status = 499)
        val WRONG_ROLE = BackendFault(Executed.NO, "the engine has another role", status = 409)
        val UNKNOWN_MODEL = BackendFault(Executed.NO, "the model is not loaded", status = 404)
        val BAD_RANGE = BackendFault(Executed.NO, "resume_from is not below max_tokens", status = 400)
        val TOO_LARGE = BackendFault(Executed.NO, "the request exceeds the KV memory", status = 400)
        val KV_GONE = BackendFault(Executed.NO, "the prefill result is gone", status = 410)
        val STALE_FENCING = BackendFault(Executed.NO, "the fencing number is old", status = 409)
    }
}
