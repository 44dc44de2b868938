package io.anvilvalve.net

import kotlin.time.Duration

/**
 * Calls servers over HTTP/1.1 on connections that may carry several calls; each call is sent once.
 *
 * A call is sent on a kept connection only if [CallRequest.mayReuse] is set. Its connection is kept only if
 * [ServerCall.keepConnection] is called after an answer that leaves the connection usable. If a kept connection fails, the
 * call fails; it is never sent again.
 *
 * @param readTimeout time without any bytes after which a call fails; zero for none.
 */
class PooledCalls(
    private val pool: ConnectionPool,
    private val connectTimeout: Duration,
    private val readTimeout: Duration = Duration.ZERO,
) : ServerCalls {
    override fun create(request: CallRequest): ServerCall {
        require(!request.isEncrypted) { "encrypted connections are not kept" }
        return PooledCall(request, pool, connectTimeout, readTimeout)
    }
}
