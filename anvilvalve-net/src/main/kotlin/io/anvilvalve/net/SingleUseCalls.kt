package io.anvilvalve.net

import kotlin.time.Duration

/**
 * Calls servers over HTTP/1.1: each call is sent once, on a connection of its own.
 *
 * On a reused connection, a server may send a second answer or may close it while a request is in flight. A call has no
 * timeout but [connectTimeout]; [ServerCall.close] ends it.
 */
class SingleUseCalls(private val connectTimeout: Duration) : ServerCalls {
    override fun create(request: CallRequest): ServerCall = SingleUseCall(request, connectTimeout)
}
