package io.anvilvalve.net

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import io.anvilvalve.api.port.BackendFault
import io.anvilvalve.api.result.Executed
import kotlinx.coroutines.suspendCancellableCoroutine
import java.io.IOException
import java.util.concurrent.Executors
import kotlin.coroutines.resume
import kotlin.time.Duration

/** Executes calls whose answers are read whole, each on a thread of its own. */
internal class AsyncCalls(private val calls: ServerCalls) {
    private val threads = Executors.newCachedThreadPool { Thread(it, "calls").apply { isDaemon = true } }

    /**
     * Performs [request] within [timeout]; cancelling the coroutine ends the call.
     *
     * A body over [limit] bytes is a fault, and so is one for which [reserve] makes no room.
     */
    suspend fun exchange(
        request: CallRequest,
        timeout: Duration,
        limit: Int,
        reserve: (Int) -> Boolean = { true },
    ): Either<BackendFault, HttpReply> {
        val call = calls.create(request)
        return suspendCancellableCoroutine { continuation ->
            continuation.invokeOnCancellation { call.close() }
            threads.execute {
                var result: Either<BackendFault, HttpReply> = notEnded
                try {
                    result = exchange(call, timeout, limit, reserve)
                } finally {
                    // An error of the runtime, such as an exhausted heap, must not leave the coroutine waiting.
                    continuation.resume(result)
                }
            }
        }
    }

    private fun exchange(
        call: ServerCall,
        timeout: Duration,
        limit: Int,
        reserve: (Int) -> Boolean,
    ): Either<BackendFault, HttpReply> {
        var status: Int? = null
        return try {
            call.executeWithin(timeout) {
                status = it.status
                HttpReply(it.status, it.head["Content-Type"], it.bytesAtMost(limit.toLong(), reserve)).right()
            }
        } catch (e: IOException) {
            e.toFault(if (status == null) call.executed else Executed.UNKNOWN).copy(status = status).left()
        }
    }

    private companion object {
        val notEnded = BackendFault(Executed.UNKNOWN, "the call ended with an error of the runtime").left()
    }
}
