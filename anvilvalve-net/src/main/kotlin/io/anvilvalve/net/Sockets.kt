package io.anvilvalve.net

import io.anvilvalve.api.result.bounded
import java.net.InetSocketAddress
import java.net.ProtocolException
import java.net.Socket
import kotlin.time.Duration

private const val MAX_PORT = 65_535

/**
 * Connects to [address], which has the form `ip:port`.
 *
 * @param readTimeout time without any bytes after which a read fails; zero for none.
 * @throws java.io.IOException when the address is malformed, or nobody accepts the connection in time.
 */
internal fun Socket.connectTo(address: String, connectTimeout: Duration, readTimeout: Duration) {
    val host = address.substringBeforeLast(':')
    val port = address.substringAfterLast(':', "").toIntOrNull()?.takeIf { it in 1..MAX_PORT }
        ?: throw ProtocolException("the address '${address.bounded()}' has no port from 1 to $MAX_PORT")
    tcpNoDelay = true
    soTimeout = readTimeout.inWholeMilliseconds.toInt()
    connect(InetSocketAddress(host, port), connectTimeout.inWholeMilliseconds.toInt())
}
