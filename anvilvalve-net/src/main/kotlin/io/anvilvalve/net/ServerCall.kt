package io.anvilvalve.net

import io.anvilvalve.api.result.Executed
import java.io.IOException

/** A call that can be executed once. */
interface ServerCall : AutoCloseable {
    /** Whether any byte of the request may have left this host. */
    val sent: Boolean

    /** Whether the request was sent on a connection that carried another call before. */
    val reused: Boolean get() = false

    /** Whether the server may have executed the call if it failed. */
    val executed: Executed get() = if (sent) Executed.UNKNOWN else Executed.NO

    /**
     * Sends the request and waits for the head of its answer.
     *
     * @throws IOException when the server cannot be reached, does not answer, or sends no sound head.
     */
    fun execute(): ServerAnswer

    /**
     * Allows other calls to use the connection of this one. The thread that executes the call invokes it when it has read
     * the answer to its end and has found that the answer belongs to this call.
     *
     * Does nothing if the connection cannot carry another call; [close] then closes it.
     */
    fun keepConnection() = Unit

    /** Closes the connection unless it was kept; a thread that executes the call or reads its answer then fails. */
    override fun close()
}
