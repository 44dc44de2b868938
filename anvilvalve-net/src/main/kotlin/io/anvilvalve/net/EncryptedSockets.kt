package io.anvilvalve.net

import java.net.Socket
import javax.net.ssl.SSLSocket
import javax.net.ssl.SSLSocketFactory

/** Adds TLS to connected sockets. */
internal class EncryptedSockets(private val factory: SSLSocketFactory) {
    /**
     * Returns a socket that encrypts on [socket], which is connected to [address] of the form `ip:port`; the certificate
     * of the server must be trusted and valid for this address.
     */
    fun encrypt(socket: Socket, address: String): Socket {
        val host = address.substringBeforeLast(':').removeSurrounding("[", "]")
        val encrypted = factory.createSocket(socket, host, socket.port, false) as SSLSocket
        encrypted.sslParameters = encrypted.sslParameters.apply { endpointIdentificationAlgorithm = "HTTPS" }
        encrypted.startHandshake()
        return encrypted
    }

    companion object {
        /** Sockets that trust the certificates that the JVM trusts. */
        val default by lazy { EncryptedSockets(SSLSocketFactory.getDefault() as SSLSocketFactory) }

        init {
            // Otherwise, the JVM takes the end of the connection for that of TLS, so an answer without a length that is cut
            // would look whole.
            System.setProperty("com.sun.net.ssl.requireCloseNotify", "true")
        }
    }
}
