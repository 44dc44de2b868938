package io.anvilvalve.host

import java.util.concurrent.TimeUnit
import java.util.concurrent.locks.ReentrantLock
import kotlin.concurrent.withLock
import kotlin.time.ComparableTimeMark
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.DurationUnit
import kotlin.time.TimeSource

/**
 * Bytes that the process holds for its clients, and the clients that it waits for.
 *
 * Bytes are charged when they have arrived. When there is no room, clients that have stalled are given up, those with
 * the least progress first.
 *
 * @param limit maximum number of bytes; answers of backend servers are charged even beyond it.
 * @param maxBodies maximum number of bodies that are waited for at the same time.
 */
internal class ByteBudget(
    private val limit: Long,
    private val maxBodies: Int,
    private val time: TimeSource.WithComparableMarks,
    private val reports: LimitReports,
) {
    private val lock = ReentrantLock()
    private val room = lock.newCondition()
    private val waiting = LinkedHashSet<Holding>()
    private var bodies = 0

    @Volatile
    var usedBytes: Long = 0
        private set

    /** Starts to hold bytes for a client; [abandon] ends the wait for it and may be called by any thread. */
    fun open(abandon: () -> Unit): Holding = Holding(abandon)

    /** Gives up the clients whose time has passed. */
    fun sweep() {
        val overdue = lock.withLock { waiting.filter { it.isOverdue() } }
        overdue.forEach { it.giveUp(if (it.isBody) ClientLimit.BODY_TIME else ClientLimit.ANSWER_TIME) }
        lock.withLock { waiting.forEach { it.updateProgress() } }
    }

    /** Runs [take] until it succeeds; gives up stalled clients and waits briefly for what they return. */
    private fun tryFor(reason: ClientLimit, requester: Holding, take: () -> Boolean): Boolean {
        val stalled = lock.withLock {
            if (take()) return true
            selectStalled(requester)
        }
        stalled?.giveUp(reason)
        val taken = lock.withLock {
            var nanos = ROOM_WAIT.inWholeNanoseconds
            while (!take()) {
                if (stalled == null || nanos <= 0) return@withLock false
                nanos = room.awaitNanos(nanos)
            }
            true
        }
        if (!taken) reports.acted(reason)
        return taken
    }

    private fun selectStalled(requester: Holding): Holding? = waiting
        .filter { it !== requester && it.isStalled }
        .minWithOrNull(compareBy<Holding> { it.recentBytes }.thenByDescending { it.heldBytes })

    /** Bytes held for one client; used by the thread of its request. */
    inner class Holding(private val abandon: () -> Unit) : AutoCloseable {
        private val openedAt = time.markNow()
        private var deadline: ComparableTimeMark? = null
        private var progressAt = openedAt
        private var bytesAtProgress = 0L
        private var receivedBytes = 0L

        internal var heldBytes = 0L
            private set

        /** Bytes received in the last whole second; null until one has passed. */
        internal var recentBytes: Long? = null
            private set
        internal var isBody = false
            private set

        @Volatile
        private var isGivenUp = false

        @Volatile
        private var isClosed = false

        internal val isStalled: Boolean get() = !isGivenUp &&
            recentBytes.let { it != null && it < MIN_BYTES_PER_SECOND }

        /** Charges [bytes]; returns false if there is no room for them or the holding is closed. */
        fun reserve(bytes: Int): Boolean {
            if (isClosed) return false
            return tryFor(ClientLimit.HELD_BYTES, this) {
                (!isClosed && usedBytes + bytes <= limit).also { if (it) charge(bytes) }
            }
        }

        /** Charges [bytes] that have to be held in any case. */
        fun add(bytes: Int) = lock.withLock { charge(bytes) }

        /** Records that [bytes] of a body have arrived. */
        fun received(bytes: Int) {
            receivedBytes += bytes
        }

        /** Starts to wait for a body until [deadline]; returns false if too many bodies are waited for. */
        fun awaitBody(deadline: ComparableTimeMark): Boolean = tryFor(ClientLimit.OPEN_BODIES, this) {
            (bodies < maxBodies).also {
                if (it) {
                    bodies++
                    isBody = true
                    startWait(deadline)
                }
            }
        }

        /** Ends the wait that [awaitBody] started. */
        fun endBody() = lock.withLock {
            if (isBody) {
                bodies--
                isBody = false
                endWait()
            }
        }

        /** Runs [write], which must end within [limit]; otherwise the client is given up. */
        inline fun <T> whileWriting(limit: Duration, write: () -> T): T {
            startWriting(limit)
            try {
                return write()
            } finally {
                endWriting()
            }
        }

        fun startWriting(limit: Duration) = lock.withLock { startWait(time.markNow() + limit) }

        fun endWriting() = lock.withLock { endWait() }

        /** Returns what was charged. */
        override fun close() = lock.withLock {
            isClosed = true
            endBody()
            endWait()
            usedBytes -= heldBytes
            heldBytes = 0
            room.signalAll()
        }

        internal fun giveUp(reason: ClientLimit) {
            lock.withLock {
                if (isGivenUp || this !in waiting) return
                isGivenUp = true
            }
            reports.acted(reason)
            abandon()
        }

        internal fun isOverdue(): Boolean {
            if (deadline?.hasPassedNow() == true) return true
            val late = openedAt.elapsedNow() - BODY_GRACE
            return isBody && late > Duration.ZERO &&
                receivedBytes < late.toDouble(DurationUnit.SECONDS) * MIN_BYTES_PER_SECOND
        }

        internal fun updateProgress() {
            if (progressAt.elapsedNow() < PROGRESS_INTERVAL) return
            recentBytes = receivedBytes - bytesAtProgress
            bytesAtProgress = receivedBytes
            progressAt = time.markNow()
        }

        private fun charge(bytes: Int) {
            heldBytes += bytes
            usedBytes += bytes
        }

        private fun startWait(until: ComparableTimeMark) {
            deadline = until
            progressAt = time.markNow()
            bytesAtProgress = receivedBytes
            recentBytes = null
            waiting += this
        }

        private fun endWait() {
            deadline = null
            waiting -= this
            room.signalAll()
        }
    }

    private companion object {
        /** Slower bodies are late after [BODY_GRACE], and are the first to be given up when there is no room. */
        const val MIN_BYTES_PER_SECOND = 1_024

        /** Half of the time that a whole body may take; covers several retransmissions of a lost packet. */
        val BODY_GRACE = 5.seconds
        val PROGRESS_INTERVAL = 1.seconds

        /** Time in which the thread of a client that was given up returns its bytes. */
        val ROOM_WAIT = 500.milliseconds
    }
}
