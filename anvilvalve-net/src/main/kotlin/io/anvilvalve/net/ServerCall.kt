package io.anvilvalve.net

import io.anvilvalve.api.result.Executed
import java.io.IOException

/** A call that can be executed once. */
interface ServerCall : AutoCloseable {
    /** Whether any byte of the request may have left this host. */
    val sent: Boolean

    /** Whether the server may have executed the call if it failed. */
    val executed: Executed get() = if (sent) Executed.UNKNOWN else Executed.NO

    /**
     * Sends the request and waits for the head of its answer.
     *
     * @throws IOException when the server cannot be reached, does not answer, or sends no sound head.
     */
    fun execute(): ServerAnswer

    /** Closes the connection; a thread that executes the call or reads its answer then fails. */
    override fun close()
}
