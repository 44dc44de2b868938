package io.anvilvalve.net

/** Creates calls to servers. */
fun interface ServerCalls {
    fun create(request: CallRequest): ServerCall
}
