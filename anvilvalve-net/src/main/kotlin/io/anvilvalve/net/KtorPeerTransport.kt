package io.anvilvalve.net

import io.anvilvalve.api.log.Member
import io.anvilvalve.api.peer.PeerFrame
import io.anvilvalve.api.result.bounded
import io.ktor.network.selector.SelectorManager
import io.ktor.network.sockets.InetSocketAddress
import io.ktor.network.sockets.ServerSocket
import io.ktor.network.sockets.Socket
import io.ktor.network.sockets.aSocket
import io.ktor.network.sockets.awaitClosed
import io.ktor.network.sockets.openReadChannel
import io.ktor.network.sockets.openWriteChannel
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.CoroutineStart
import kotlinx.coroutines.Job
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.asCoroutineDispatcher
import kotlinx.coroutines.cancelAndJoin
import kotlinx.coroutines.isActive
import kotlinx.coroutines.launch
import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.withTimeoutOrNull
import java.io.IOException
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.Executors
import java.util.concurrent.atomic.AtomicInteger
import kotlin.random.Random

/**
 * Peer transport over TCP. A host dials the hosts that it sends to; after the handshake it only reads from the
 * connections that it accepted.
 *
 * @param port TCP port; 0 selects a free port.
 * @param secret secret that all hosts share; it proves that a peer belongs to the fleet, not which host it is.
 * @param sendQueue capacity in frames of the send queue of each peer.
 */
class KtorPeerTransport(
    private val bindAddress: String,
    private val port: Int,
    secret: ByteArray,
    private val sendQueue: Int = 1_024,
    private val random: Random = Random.Default,
) : PeerTransport {
    private val job = SupervisorJob()

    /** One thread for all connections: handing a frame from thread to thread costs more than to write it. */
    private val thread = singleThread("peers")
    private val selectorThread = singleThread("peers-select")
    private val scope = CoroutineScope(job + thread)
    private val selectorJob = SupervisorJob()
    private val selector = SelectorManager(selectorThread + selectorJob)
    private val handshake = PeerHandshake(secret)
    private val links = ConcurrentHashMap<String, RunningLink>()
    private val acceptedConnections = AtomicInteger()

    /** Accepted connections whose handshake has not ended. */
    private val handshakes = AtomicInteger()

    private var server: ServerSocket? = null

    @Volatile
    private var lastEncoded: Pair<PeerFrame, ByteArray>? = null

    @Volatile
    private var onRefused: (String) -> Unit = {}

    override fun start(receive: (PeerFrame) -> Unit, refused: (String) -> Unit): Int {
        this.onRefused = refused
        val bound = runBlocking { aSocket(selector).tcp().bind(bindAddress, port) { reuseAddress = true } }
        server = bound
        scope.launch { acceptPeers(bound, receive) }
        return (bound.localAddress as InetSocketAddress).port
    }

    override fun send(to: Member, frame: PeerFrame) {
        val bytes = encode(frame)
        if (bytes == null) {
            val kind = frame.message::class.simpleName
            onRefused("frame with $kind to ${to.host} has more than ${PeerFrames.MAX_BYTES} bytes and is not sent")
        } else {
            val link = link(to.address) ?: return onRefused("${to.host} has the address '${to.address.bounded()}'")
            link.send(bytes)
        }
    }

    /** Reuses the bytes of the last frame, so that a broadcast to all peers is encoded once. */
    private fun encode(frame: PeerFrame): ByteArray? {
        val last = lastEncoded
        if (last != null && last.first.message === frame.message && last.first == frame) return last.second
        return PeerFrames.encode(frame).also { if (it != null) lastEncoded = frame to it }
    }

    override fun reset(to: Member) {
        links.remove(to.address)?.job?.cancel()
    }

    /**
     * Closes all connections and returns when the port is free, so that a restarted host can bind the same port.
     *
     * A closed channel holds its port until the selector that it is registered with has terminated.
     */
    override fun close() {
        runBlocking {
            job.cancelAndJoin()
            server?.run {
                close()
                awaitClosed()
            }
            selector.close()
            selectorJob.complete()
            selectorJob.join()
        }
        thread.close()
        selectorThread.close()
    }

    /** Returns null if [address] has no port. */
    private fun link(address: String): PeerLink? {
        val port = address.substringAfterLast(":", "").toIntOrNull() ?: return null
        return links.computeIfAbsent(address) { start(it, port) }.link
    }

    private fun start(address: String, port: Int): RunningLink {
        val host = address.substringBeforeLast(":").removeSurrounding("[", "]")
        val link = PeerLink(host, port, selector, handshake, sendQueue, random, onRefused)
        val job = scope.launch(start = CoroutineStart.LAZY) { link.run() }
        return RunningLink(link, job).also { running ->
            job.invokeOnCompletion { links.remove(address, running) }
            job.start()
        }
    }

    private suspend fun CoroutineScope.acceptPeers(server: ServerSocket, receive: (PeerFrame) -> Unit) = server.use {
        while (isActive) {
            val socket = server.accept()
            if (handshakes.get() >= MAX_HANDSHAKES || acceptedConnections.get() >= MAX_ACCEPTED_CONNECTIONS) {
                socket.close()
                onRefused("limit of accepted connections or of handshakes exceeded")
            } else {
                acceptedConnections.incrementAndGet()
                handshakes.incrementAndGet()
                launch { receiveFrames(socket, receive) }
            }
        }
    }

    private suspend fun receiveFrames(socket: Socket, receive: (PeerFrame) -> Unit) = socket.use {
        try {
            val input = socket.openReadChannel()
            val output = socket.openWriteChannel(autoFlush = false)
            val authenticated = try {
                withTimeoutOrNull(PeerLink.CONNECT_TIMEOUT) { handshake.listen(input, output) }
            } finally {
                handshakes.decrementAndGet()
            }
            if (authenticated != true) return@use onRefused("peer ${socket.remoteAddress} did not prove the secret")
            while (true) {
                val frame = PeerFrames.read(input) ?: break
                frame.fold({ return@use onRefused("peer ${socket.remoteAddress}: $it") }, receive)
            }
        } catch (e: IOException) {
            onRefused("accepted peer connection failed: $e")
        } finally {
            acceptedConnections.decrementAndGet()
        }
    }

    private fun singleThread(name: String) =
        Executors.newSingleThreadExecutor { Thread(it, name).apply { isDaemon = true } }.asCoroutineDispatcher()

    private class RunningLink(val link: PeerLink, val job: Job)

    private companion object {
        /** Three times the 350 hosts of the target size; a reconnecting host may briefly hold two connections. */
        const val MAX_ACCEPTED_CONNECTIONS = 1_050

        /** A peer proves the secret within milliseconds, and one that is refused dials again. */
        const val MAX_HANDSHAKES = 128
    }
}
