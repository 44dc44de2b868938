package io.anvilvalve.rules.routing

import io.anvilvalve.api.id.PromptPartId
import io.anvilvalve.api.peer.PartReport
import io.anvilvalve.api.result.LogEvent
import io.anvilvalve.api.routing.Backend
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Duration.Companion.seconds

/**
 * Finds parts of prompts that crash the engines which begin to answer them, and withholds requests with such a part.
 *
 * An engine that crashes breaks many requests, so a part is to blame only if requests with it broke before their answers
 * started at [MIN_ENGINES] engines, and no host has seen an answer with it.
 */
internal class CrashingParts(private val out: Outbox, private val peers: Peers) {
    private class Crash(val engine: String, val parts: List<PromptPartId>, val at: Duration)

    private val crashes = ArrayDeque<Crash>()
    private val answeredAt = LinkedHashMap<PromptPartId, Duration>()
    private val withheldUntil = HashMap<PromptPartId, Duration>()

    /** Report of a coordinator; null while this host receives the reports of the others itself. */
    private var fromCoordinator: PartReport? = null
    private var updatedAt: Duration? = null

    /** What the other hosts must know, as of the last update; null while no engine crashes. */
    var report: PartReport? = null
        private set

    /** Whether no engine may get [request]. */
    fun isWithheld(request: LiveRequest): Boolean = parts(request).any(withheldUntil::containsKey)

    /** Whether [request], which broke before its answer started, may be what its engines crashed on. */
    fun isSuspect(request: LiveRequest): Boolean {
        val known = knownCrashes()
        return parts(request).any { part -> enginesOf(part, known).size >= SUSPECT_ENGINES && !isAnswered(part) }
    }

    /** Records that an engine has begun to answer [request]. */
    fun recordAnswer(request: LiveRequest) {
        for (part in parts(request)) {
            answeredAt.remove(part)
            answeredAt[part] = out.now
        }
        while (answeredAt.size > MAX_ANSWERED) answeredAt.remove(answeredAt.keys.first())
    }

    /** Records that [request] broke at [engine] before its answer started. */
    fun recordBreak(request: LiveRequest, engine: Backend) {
        val parts = parts(request).filterNot(::isAnswered)
        if (parts.isEmpty()) return
        crashes.addLast(Crash("${engine.id}/${engine.startedAtMillis}", parts, out.now))
        if (crashes.size > MAX_CRASHES) crashes.removeFirst()
        evaluate()
    }

    /** Uses the [report] of a coordinator; null once this host receives the reports of the others itself. */
    fun useTotals(report: PartReport?) {
        fromCoordinator = report
    }

    /** Withholds and releases parts by the latest reports; to be called when a report arrives and at every tick. */
    fun update() {
        val isRecent = updatedAt?.let { out.now - it < UPDATE_INTERVAL } == true
        val isIdle = crashes.isEmpty() && withheldUntil.isEmpty() && report == null
        if (isRecent || (isIdle && fromCoordinator == null && peers.all.none { it.lastMessage?.parts != null })) return
        evaluate()
    }

    private fun evaluate() {
        updatedAt = out.now
        crashes.removeAll { out.now - it.at > CRASH_MEMORY || it.parts.all(::isAnswered) }
        withheldUntil.entries.removeIf { (part, until) -> until <= out.now || isAnswered(part) }
        reports().flatMap { it.withheld }
            .filter { it.millis.milliseconds > MIN_ADOPTED_TIME && it.part !in withheldUntil && !isAnswered(it.part) }
            .forEach { withhold(it.part, it.millis.milliseconds, "peer") }
        val known = knownCrashes()
        known.flatMapTo(HashSet()) { it.parts }.filter { it !in withheldUntil && isToBlame(it, known) }.forEach {
            withhold(it, WITHHOLDING_TIME, "crashes")
        }
        report = buildReport()
    }

    private fun buildReport(): PartReport? {
        val known = knownCrashes()
        if (known.isEmpty() && withheldUntil.isEmpty()) return null
        val parts =
            known.flatMapTo(HashSet()) { it.parts } + reports().flatMap { report -> report.withheld.map { it.part } }
        return PartReport(
            crashes.map(::shared),
            parts.filter(::isAnsweredHere),
            withheldUntil.map { (part, until) ->
                PartReport.Withheld(part, (until - out.now).inWholeMilliseconds.toInt())
            },
        )
    }

    /** What a coordinator tells all hosts: its own report and those that it has received. */
    fun buildTotals(): PartReport? {
        val own = report ?: return null
        return own.copy(
            crashes = knownCrashes().takeLast(MAX_TOTAL_CRASHES).map(::shared),
            answered = (own.answered + reports().flatMap { it.answered }).distinct(),
        )
    }

    private fun shared(crash: Crash) =
        PartReport.Crash(crash.engine, crash.parts, (out.now - crash.at).inWholeMilliseconds.toInt())

    private fun parts(request: LiveRequest) =
        if (request.service.engine == null) emptyList() else request.request.sharedParts

    private fun reports(): List<PartReport> =
        peers.all.mapNotNull { it.lastMessage?.parts } + listOfNotNull(fromCoordinator)

    private fun knownCrashes(): List<Crash> = crashes +
        reports().flatMap { it.crashes }.map { Crash(it.engine, it.parts, out.now - it.ageMillis.milliseconds) }

    private fun isAnsweredHere(part: PromptPartId) = answeredAt[part]?.let { out.now - it < ANSWER_MEMORY } == true

    private fun isAnswered(part: PromptPartId) = isAnsweredHere(part) || reports().any { part in it.answered }

    private fun enginesOf(part: PromptPartId, known: List<Crash>): Set<String> =
        known.filter { part in it.parts }.mapTo(HashSet()) { it.engine }

    /** Of several parts with the same crashes, the last one is to blame: the others may stand before sound parts too. */
    private fun isToBlame(part: PromptPartId, known: List<Crash>): Boolean {
        if (isAnswered(part) || enginesOf(part, known).size < MIN_ENGINES) return false
        val with = known.filter { part in it.parts }
        return with.map { crash -> crash.parts.dropWhile { it != part }.drop(1).filterNot(::isAnswered).toSet() }
            .reduce(Set<PromptPartId>::intersect).isEmpty()
    }

    private fun withhold(part: PromptPartId, time: Duration, source: String) {
        withheldUntil[part] = out.now + time
        out.log(LogEvent.PROMPT_PART_WITHHELD, "part" to part, "from" to source)
    }

    companion object {
        /** Fewer crashes than that may have another cause; each further one costs an engine with all its streams. */
        const val MIN_ENGINES = 3

        /** A request with a part that was at so many crashes is not repeated. */
        private const val SUSPECT_ENGINES = 2

        /** Engines that crash take seconds to return, so even a rare part has crashed [MIN_ENGINES] within this time. */
        private val CRASH_MEMORY = 60.seconds

        /** A part that is answered now and then is sound; one that was sound long ago may have become a fault. */
        private val ANSWER_MEMORY = 60.seconds

        /** After this time, a part gets the chance to be served again, at the risk of [MIN_ENGINES] further crashes. */
        val WITHHOLDING_TIME = 10.minutes

        /**
         * A part that another host withholds for a shorter time is about to be released. Hosts that took it over from each
         * other with the delay of their messages would never release it.
         */
        private val MIN_ADOPTED_TIME = 30.seconds

        /** Short against the time between crashes; reports arrive every few milliseconds. */
        private val UPDATE_INTERVAL = 100.milliseconds
        private const val MAX_ANSWERED = 4_096
        private const val MAX_CRASHES = 32
        private const val MAX_TOTAL_CRASHES = 64
    }
}
