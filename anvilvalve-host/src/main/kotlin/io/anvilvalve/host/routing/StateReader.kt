package io.anvilvalve.host.routing

import arrow.core.Either
import io.anvilvalve.api.BinaryCodec
import io.anvilvalve.api.log.Member
import io.anvilvalve.api.routing.StatePage
import io.anvilvalve.api.routing.StateStore
import io.anvilvalve.api.routing.StateTopic
import io.anvilvalve.api.routing.StoreFault
import io.anvilvalve.api.routing.StorePosition
import io.anvilvalve.api.routing.StoredEntry
import io.anvilvalve.rules.routing.EntryLimits
import io.anvilvalve.rules.routing.RoutingEffect
import io.anvilvalve.rules.routing.RoutingEvent
import java.util.concurrent.LinkedBlockingQueue
import java.util.concurrent.atomic.AtomicReference
import java.util.concurrent.locks.ReentrantLock
import kotlin.concurrent.withLock
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.ZERO
import kotlin.time.Duration.Companion.milliseconds

/**
 * Follows the topics of the store, each on its own thread, so that a read that hangs does not block the others.
 *
 * @param limits what is kept of an entry of a backend server.
 * @param announce writes this host's own entry to the store.
 */
internal class StateReader(
    private val store: StateStore,
    private val limits: EntryLimits,
    private val announce: () -> Either<StoreFault, Unit>,
    private val post: (RoutingEvent) -> Unit,
    private val random: Random = Random.Default,
) : AutoCloseable {
    private val threads = listOf(
        Thread(::followConfiguration, "read-configuration"),
        Thread({ follow(StateTopic.DIRECTORY, wait = { ZERO }, pause = DIRECTORY_PAUSE) }, "read-directory"),
        Thread(::joinHosts, "read-hosts"),
    )
    private val lock = ReentrantLock()
    private val followingChanged = lock.newCondition()
    private val hostCalls = LinkedBlockingQueue<HostCall>()
    private val pendingCorrection = AtomicReference<RoutingEffect.CorrectHosts?>()
    private var following = true

    @Volatile
    private var configurationWait = 1_200.milliseconds

    fun start() = threads.forEach {
        it.isDaemon = true
        it.start()
    }

    /** Follows the store from now on if [active]; reads for a new configuration wait up to [wait]. */
    fun follow(active: Boolean, wait: Duration) {
        configurationWait = wait
        lock.withLock {
            following = active
            followingChanged.signalAll()
        }
    }

    /** Reads the list of hosts again, unless a read is outstanding. */
    fun readHosts() {
        if (hostCalls.isEmpty()) hostCalls.add(HostCall.READ)
    }

    /** Writes this host's own entry again, and reads the list of hosts. */
    fun announceHost() {
        if (HostCall.ANNOUNCE !in hostCalls) hostCalls.add(HostCall.ANNOUNCE)
    }

    /** Corrects the list of hosts in the store, and reads it again. */
    fun correctHosts(correction: RoutingEffect.CorrectHosts) {
        if (pendingCorrection.getAndSet(correction) == null) hostCalls.add(HostCall.CORRECT)
    }

    override fun close() = threads.forEach(Thread::interrupt)

    /**
     * Reads the usage before the configuration, because no request is admitted without a configuration.
     *
     * If the usage cannot be read, the routing rules assume that a share of each quota is used.
     */
    private fun followConfiguration() {
        post(RoutingEvent.StateRead(StateTopic.USAGE, store.newest(StateTopic.USAGE)))
        follow(StateTopic.CONFIGURATION, wait = { configurationWait }, pause = ZERO)
    }

    private fun follow(topic: StateTopic, wait: () -> Duration, pause: Duration) = untilClosed {
        var next: StorePosition? = null
        var failures = 0
        while (true) {
            // What changed while this host did not follow the store may have been deleted from its history.
            if (next != null && waitUntilFollowing()) next = null
            val from = next
            val keep: (StoredEntry) -> StoredEntry = if (topic == StateTopic.DIRECTORY) limits::limit else { it -> it }
            val result = if (from == null) {
                store.newest(topic, keep)
            } else {
                store.read(topic, from, wait()).map { StatePage(it.entries.map(keep), it.next, it.complete) }
            }
            post(RoutingEvent.StateRead(topic, result))
            result.fold(
                {
                    failures++
                    if (it.historyLost) next = null
                },
                {
                    failures = 0
                    next = it.next
                },
            )
            sleep(if (failures == 0) pause else backOff(failures))
        }
    }

    /** Announces this host before reading the others, so that of two hosts that start together one finds the other. */
    private fun joinHosts() = untilClosed {
        retry { announce() }
        retry { store.newest(StateTopic.HOSTS).onRight { post(hostsRead(it)) } }
        while (true) {
            when (hostCalls.take()) {
                HostCall.ANNOUNCE -> retry { announce() }
                HostCall.CORRECT -> pendingCorrection.getAndSet(null)?.let(::correct)
                HostCall.READ -> Unit
            }
            store.newest(StateTopic.HOSTS).onRight { post(hostsRead(it)) }
        }
    }

    /** What is not written is still missing or listed in the next list, and is corrected then. */
    private fun correct(correction: RoutingEffect.CorrectHosts) {
        correction.missing.forEach { member ->
            store.put(StateTopic.HOSTS, member.host.value, BinaryCodec.encode(Member.serializer(), member))
        }
        correction.gone.forEach { store.remove(StateTopic.HOSTS, it.value) }
    }

    /** Waits until this host follows the store; returns whether it had to wait. */
    private fun waitUntilFollowing(): Boolean = lock.withLock {
        val waited = !following
        while (!following) followingChanged.await()
        waited
    }

    private fun hostsRead(page: StatePage) = RoutingEvent.StateRead(StateTopic.HOSTS, Either.Right(page))

    private fun <T> retry(call: () -> Either<StoreFault, T>) {
        var failures = 0
        while (call().isLeft()) sleep(backOff(++failures))
    }

    private fun sleep(time: Duration) {
        if (time > ZERO) Thread.sleep(time.inWholeMilliseconds)
    }

    private fun backOff(failures: Int): Duration {
        val limit = minOf(MIN_BACK_OFF * (1 shl minOf(failures, MAX_DOUBLINGS)), MAX_BACK_OFF)
        return limit / 2 + limit * random.nextDouble() / 2
    }

    private inline fun untilClosed(work: () -> Unit) = try {
        work()
    } catch (_: InterruptedException) {
        Thread.currentThread().interrupt()
    }

    private enum class HostCall {
        READ,
        ANNOUNCE,
        CORRECT,
    }

    private companion object {
        /**
         * Departures of backend servers must be known within 2 s.
         *
         * The topic is polled, because heartbeats would end a waiting read many times a second.
         */
        val DIRECTORY_PAUSE = 500.milliseconds
        val MIN_BACK_OFF = 50.milliseconds
        val MAX_BACK_OFF = 500.milliseconds
        const val MAX_DOUBLINGS = 4
    }
}
