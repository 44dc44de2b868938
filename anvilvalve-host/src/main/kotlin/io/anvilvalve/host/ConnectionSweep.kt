package io.anvilvalve.host

/** Closes the connections of one listener that exceed [bounds]. */
internal class ConnectionSweep(
    private val bounds: ConnectionBounds,
    private val connections: () -> List<CallerConnection>,
) {
    /** Closes late headers, and idle connections while most of the allowed ones are open. */
    fun run() {
        val open = connections()
        val isCrowded = open.size >= bounds.crowd
        val headerTimeout = bounds.headerTimeout().let { if (isCrowded) minOf(it, bounds.crowdedIdleTime) else it }
        open.filter { it.closeIfHeaderLate(headerTimeout) }
            .forEach { _ -> bounds.reports.acted(ClientLimit.HEADER_TIME) }
        if (isCrowded) open.filter(::closeInCrowd).forEach { _ -> bounds.reports.acted(ClientLimit.CONNECTIONS) }
    }

    private fun closeInCrowd(connection: CallerConnection): Boolean {
        if (connection.closeIfIdle(bounds.crowdedIdleTime)) return true
        val isOld = bounds.crowdedAge?.let { connection.age >= it } == true
        if (isOld) connection.endPoint.close()
        return isOld
    }
}
