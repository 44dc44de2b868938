package io.anvilvalve.host

import org.eclipse.jetty.io.Connection
import org.eclipse.jetty.io.EndPoint
import org.eclipse.jetty.server.Connector
import org.eclipse.jetty.server.HttpConfiguration
import org.eclipse.jetty.server.HttpConnectionFactory
import kotlin.time.TimeSource

/** Creates a [CallerConnection] for every connection that a listener accepts. */
internal class CallerConnectionFactory(
    configuration: HttpConfiguration,
    private val time: TimeSource.WithComparableMarks,
    private val bounds: ConnectionBounds,
) : HttpConnectionFactory(configuration) {
    override fun newConnection(connector: Connector, endPoint: EndPoint): Connection =
        configure(CallerConnection(httpConfiguration, connector, endPoint, time, bounds), connector, endPoint)
}
