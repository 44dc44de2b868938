package io.anvilvalve.host.routing

import io.anvilvalve.api.routing.Backend
import io.anvilvalve.net.ServerAnswer
import io.anvilvalve.rules.routing.RoutingEvent

/** Posts what the head of [answer] says about [server] itself, if it says anything. */
internal fun RoutingDialect.reportSignals(server: Backend, answer: ServerAnswer, post: (RoutingEvent) -> Unit) {
    val signals = signals(answer.status, answer.head)
    if (!signals.isEmpty) post(RoutingEvent.ServerReported(server, signals))
}
