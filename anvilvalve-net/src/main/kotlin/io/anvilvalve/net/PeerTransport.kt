package io.anvilvalve.net

import io.anvilvalve.api.log.Member
import io.anvilvalve.api.peer.PeerFrame

/** Sends and receives frames between entry hosts; frames may be lost. */
interface PeerTransport : AutoCloseable {
    /** Listens, hands every frame of an authenticated peer to [receive], and returns the bound port. */
    fun start(receive: (PeerFrame) -> Unit): Int

    /** Queues [frame] for [to]; never blocks. */
    fun send(to: Member, frame: PeerFrame)
}
