package io.anvilvalve.net

import io.anvilvalve.api.log.Member
import io.anvilvalve.api.peer.PeerFrame

/** Sends and receives frames between hosts. Delivery is not guaranteed: frames may be lost. */
interface PeerTransport : AutoCloseable {
    /**
     * Starts to listen and returns the bound port.
     *
     * @param receive called with every frame from an authenticated peer.
     * @param refused called with the reason when a connection is refused or closed because of a fault, or when a frame
     * to send is too large.
     */
    fun start(receive: (PeerFrame) -> Unit, refused: (String) -> Unit): Int

    /** Queues [frame] for [to] without blocking. */
    fun send(to: Member, frame: PeerFrame)

    /** Closes the connection to [to], for example when the peer no longer responds; the next frame opens a new one. */
    fun reset(to: Member)
}
