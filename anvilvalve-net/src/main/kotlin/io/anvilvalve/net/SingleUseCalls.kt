package io.anvilvalve.net

import kotlin.time.Duration

/**
 * Calls servers over HTTP/1.1: each call is sent once, on a connection of its own.
 *
 * [PooledCalls] keep connections. The duration of a call as a whole has no limit; [ServerCall.close] ends it.
 *
 * @param readTimeout time without any bytes after which a call fails; zero for none.
 */
class SingleUseCalls
internal constructor(
    private val connectTimeout: Duration,
    private val readTimeout: Duration,
    private val encryption: () -> EncryptedSockets,
) : ServerCalls {
    constructor(connectTimeout: Duration, readTimeout: Duration = Duration.ZERO) :
        this(connectTimeout, readTimeout, { EncryptedSockets.default })

    override fun create(request: CallRequest): ServerCall =
        SingleUseCall(request, connectTimeout, readTimeout, if (request.isEncrypted) encryption() else null)
}
