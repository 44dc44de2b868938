package io.anvilvalve.host

/** A complete request body; closing it returns its bytes to the budget. */
internal class ReceivedBody(val bytes: ByteArray, private val holding: ByteBudget.Holding?) : AutoCloseable {
    override fun close() {
        holding?.close()
    }

    companion object {
        /** The body of a request that has none, or whose body was not read. */
        val EMPTY = ReceivedBody(ByteArray(0), null)
    }
}
