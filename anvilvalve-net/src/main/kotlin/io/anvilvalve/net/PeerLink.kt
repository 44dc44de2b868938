package io.anvilvalve.net

import io.ktor.network.selector.SelectorManager
import io.ktor.network.sockets.Socket
import io.ktor.network.sockets.aSocket
import io.ktor.network.sockets.openReadChannel
import io.ktor.network.sockets.openWriteChannel
import io.ktor.utils.io.ByteReadChannel
import io.ktor.utils.io.ByteWriteChannel
import io.ktor.utils.io.exhausted
import io.ktor.utils.io.writeByteArray
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.cancelChildren
import kotlinx.coroutines.channels.BufferOverflow
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeoutOrNull
import java.io.IOException
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Duration.Companion.seconds

/**
 * Sends frames to one peer. Connects when a frame is queued, and reconnects with back-off after a failure.
 *
 * When the queue is full, the oldest frame is dropped, because a newer frame usually makes it obsolete.
 */
internal class PeerLink(
    private val host: String,
    private val port: Int,
    private val selector: SelectorManager,
    private val handshake: PeerHandshake,
    queueSize: Int,
    private val random: Random,
    private val onRefused: (String) -> Unit,
) {
    private val queue = Channel<ByteArray>(queueSize, BufferOverflow.DROP_OLDEST)

    fun send(bytes: ByteArray) {
        queue.trySend(bytes)
    }

    /** Runs until no frame has been queued for [IDLE_TIMEOUT]. */
    suspend fun run() {
        var failures = 0
        while (true) {
            val first = withTimeoutOrNull(IDLE_TIMEOUT) { queue.receive() } ?: return
            val reached = connectAndSend(first)
            failures = if (reached) 0 else failures + 1
            if (failures > 0) delay(backOff(failures, random))
        }
    }

    /** Sends [first] and all queued frames over a new connection; returns whether the handshake succeeded. */
    private suspend fun connectAndSend(first: ByteArray): Boolean {
        var reached = false
        try {
            val socket = withTimeoutOrNull(CONNECT_TIMEOUT) { connect() } ?: return false
            socket.use {
                val input = socket.openReadChannel()
                val output = socket.openWriteChannel(autoFlush = false)
                reached = withTimeoutOrNull(CONNECT_TIMEOUT) { handshake.dial(input, output) } == true
                if (reached) sendAll(first, input, output) else onRefused("peer $host:$port did not prove the secret")
            }
        } catch (e: IOException) {
            if (!reached) onRefused("peer $host:$port: $e")
        } catch (e: IllegalArgumentException) {
            // An address that cannot be resolved, or a port that does not exist.
            onRefused("peer $host:$port: $e")
        }
        return reached
    }

    private suspend fun connect(): Socket = aSocket(selector).tcp().connect(host, port)

    private suspend fun sendAll(first: ByteArray, input: ByteReadChannel, output: ByteWriteChannel) = coroutineScope {
        failWhenClosed(input)
        output.writeByteArray(first)
        while (true) {
            val next = queue.tryReceive().getOrNull() ?: awaitNext(output) ?: break
            output.writeByteArray(next)
        }
        coroutineContext.cancelChildren()
    }

    private suspend fun awaitNext(output: ByteWriteChannel): ByteArray? {
        output.flush()
        return withTimeoutOrNull(IDLE_TIMEOUT) { queue.receive() }
    }

    /** Detects that the peer has closed the connection; a peer sends nothing else after the handshake. */
    private fun CoroutineScope.failWhenClosed(input: ByteReadChannel) = launch {
        if (input.exhausted()) throw IOException("connection closed by the peer")
    }

    companion object {
        val CONNECT_TIMEOUT = 2.seconds
        val IDLE_TIMEOUT = 1.minutes
        private val MIN_BACK_OFF = 50.milliseconds
        private val MAX_BACK_OFF = 5.seconds
        private const val MAX_DOUBLINGS = 7

        /** Delay after [failures] consecutive failures: doubles up to [MAX_BACK_OFF], and half of it is random. */
        fun backOff(failures: Int, random: Random): Duration {
            val limit = minOf(MIN_BACK_OFF * (1 shl minOf(failures, MAX_DOUBLINGS)), MAX_BACK_OFF)
            return limit / 2 + random.nextLong(limit.inWholeMilliseconds / 2 + 1).milliseconds
        }
    }
}
