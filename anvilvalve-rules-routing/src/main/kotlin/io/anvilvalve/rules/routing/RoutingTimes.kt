package io.anvilvalve.rules.routing

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Times of the routing rules that no setting changes. */
internal object RoutingTimes {
    /** Interval between two gossip messages when nothing changes; a third of [PEER_TIMEOUT]. */
    val GOSSIP_INTERVAL: Duration = 300.milliseconds

    /** Changes of the memory set aside at engines within this time share one message; others see them this late. */
    val GOSSIP_DELAY: Duration = 10.milliseconds

    /** The same for calls to plain services, of which many go on at each server at once. */
    val GOSSIP_CALLS_DELAY: Duration = 80.milliseconds

    /** A host that was not heard for this long may be cut off; its share of every limit stays reserved. */
    val PEER_TIMEOUT: Duration = 1.seconds

    /** A host that was not heard for this long is gone; a replaced host never comes back. */
    val PEER_EXPIRY: Duration = 30.seconds

    /** A load report older than this says nothing about the requests at a backend server. */
    val LOAD_REPORT_EXPIRY: Duration = 2.seconds

    /** Backend servers whose entries lapsed in an outage of the store register again within two seconds. */
    val REGISTRATION_GRACE: Duration = 2200.milliseconds

    /** A peer's report of what waits there orders the queues for this long; a third more than the usual interval. */
    val QUEUE_HEAD_EXPIRY: Duration = 400.milliseconds

    /** The store counts as unreadable after this long without a successful read. */
    val STORE_READ_TIMEOUT: Duration = 1500.milliseconds

    /** Shortest interval of the records of usage near a quota, while it rises; the store takes 400 writes a second. */
    val MIN_USAGE_INTERVAL: Duration = 100.milliseconds

    /** Interval of the records of usage near a quota; what is admitted in between is unknown after a start. */
    val USAGE_INTERVAL: Duration = 500.milliseconds

    /** Interval at which state is asked of a peer while the store is unreadable. */
    val STATE_REQUEST_INTERVAL: Duration = 500.milliseconds

    /** The balancer asks for readiness once a second and takes a host out after two misses. */
    val BALANCER_DETECTION_TIME: Duration = 2500.milliseconds

    /** A stopping host ends what still runs this long before the platform kills it. */
    val EXIT_MARGIN: Duration = 400.milliseconds

    /** The split of engines has to be off for this long, so that a crash that heals changes nothing. */
    val IMBALANCE_DELAY: Duration = 2500.milliseconds

    /** Pause after an order that failed. */
    val ORDER_PAUSE: Duration = 5.seconds

    /** A prefill result is fetched at the latest this long before it expires. */
    val HANDLE_MARGIN: Duration = 60.milliseconds
}
