package io.anvilvalve.rules.routing

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Fixed times of the routing rules, not configurable. */
internal object RoutingTimes {
    /** Interval between gossip messages if nothing changes; less than a third of [PEER_TIMEOUT]. */
    val GOSSIP_INTERVAL: Duration = 300.milliseconds

    /**
     * Changes of queues and of memory reservations at engines within this time are batched into one message, which
     * delays them by up to this time.
     */
    val GOSSIP_DELAY: Duration = 10.milliseconds

    /** Batching delay for calls to plain services, which are much more frequent at each server. */
    val GOSSIP_CALLS_DELAY: Duration = 80.milliseconds

    /** As [GOSSIP_CALLS_DELAY], for reports to coordinators. */
    val CALLS_REPORT_DELAY: Duration = 250.milliseconds

    /**
     * A host from which nothing was received for this long may be partitioned off; its share of every limit stays
     * reserved.
     */
    val PEER_TIMEOUT: Duration = 1.seconds

    /** A host from which nothing was received for this long is removed; a replaced host never returns. */
    val PEER_EXPIRY: Duration = 30.seconds

    /** A load report older than this does not reflect the requests at a backend server any more. */
    val LOAD_REPORT_EXPIRY: Duration = 2.seconds

    /** Backend servers whose entries expired during an outage of the store register again within 2 s. */
    val REGISTRATION_GRACE: Duration = 2200.milliseconds

    /**
     * A store that has come back from a copy removes the entry of a silent server after three heartbeats, 3.6 s; a server
     * that has replaced its entry since the copy writes again sooner.
     */
    val RESTORED_ENTRY_GRACE: Duration = 5.seconds

    /** A peer's report of its next queued request applies for this long; a third more than [GOSSIP_INTERVAL]. */
    val QUEUE_HEAD_EXPIRY: Duration = 400.milliseconds

    /** The store is considered unreadable after this long without a successful read. */
    val STORE_READ_TIMEOUT: Duration = 1500.milliseconds

    /** Minimum interval between records of usage near a quota while it rises; the store accepts 400 writes a second. */
    val MIN_USAGE_INTERVAL: Duration = 100.milliseconds

    /**
     * Interval between records of usage near a quota; after a restart, admissions since the last record are unknown.
     */
    val USAGE_INTERVAL: Duration = 500.milliseconds

    /** Interval between state requests to peers while the store is unreadable. */
    val STATE_REQUEST_INTERVAL: Duration = 500.milliseconds

    /** The balancer polls readiness once a second and removes a host after two failed polls. */
    val BALANCER_DETECTION_TIME: Duration = 2500.milliseconds

    /**
     * A host that is shutting down ends the remaining requests this long before the platform kills it. The JVM takes
     * some 330 ms to end after the exit was decided.
     */
    val EXIT_MARGIN: Duration = 700.milliseconds

    /**
     * An imbalance between prefill and decode engines must last this long, so that a crash with quick recovery changes
     * nothing.
     */
    val IMBALANCE_DELAY: Duration = 2500.milliseconds

    /** Pause after an order that failed. */
    val ORDER_PAUSE: Duration = 5.seconds

    /** A prefill result is fetched at least this long before it expires. */
    val HANDLE_MARGIN: Duration = 60.milliseconds

    /** As [GOSSIP_INTERVAL], for reports to coordinators; less than a third of [REPORT_TIMEOUT]. */
    val REPORT_INTERVAL: Duration = 500.milliseconds

    /** As [PEER_TIMEOUT], in a large fleet, where a coordinator that does not answer is detected sooner. */
    val REPORT_TIMEOUT: Duration = 1700.milliseconds

    /** Interval between summaries of a coordinator if nothing changes; less than a third of [SUMMARY_TIMEOUT]. */
    val SUMMARY_INTERVAL: Duration = 400.milliseconds

    /** A coordinator whose last summary is older may be partitioned off. */
    val SUMMARY_TIMEOUT: Duration = 1300.milliseconds

    /** Changes of loads and usage within this time are batched into one summary. */
    val SUMMARY_DELAY: Duration = 200.milliseconds

    /** A coordinator answers within a few milliseconds; TCP retransmits a lost packet after 200 ms or more. */
    val PLACEMENT_TIMEOUT: Duration = 150.milliseconds

    /** As [PLACEMENT_TIMEOUT], for a request that needs a confirmation of its quota. */
    val CONFIRMATION_TIMEOUT: Duration = 1.seconds

    /** A coordinator that did not answer a placement request gets no further ones for this long. */
    val SUSPICION_TIME: Duration = 1.seconds

    /** A host waits this much longer than its coordinator before it refuses a queued request itself. */
    val PLACEMENT_GRACE: Duration = 300.milliseconds

    /** A grant that its host has not confirmed after this long was lost with its connection or its host. */
    val GRANT_EXPIRY: Duration = 2.seconds

    /**
     * A host reads the store itself when no coordinator has read it within this time. The shortest bound for changes
     * of the configuration in a large fleet is 3 s.
     */
    val STORE_NEWS_LIMIT: Duration = 1600.milliseconds

    /**
     * A host reads the store itself when other hosts have named newer state for this long and have not sent any of it.
     * Together with the time that the read takes, it is less than the shortest bound for changes of the configuration in a
     * large fleet, 3 s.
     */
    val STATE_OVERDUE_TIME: Duration = 1.seconds

    /** A host that has started to read the store itself continues for at least this long. */
    val STORE_READING_TIME: Duration = 3.seconds

    /** Waiting time of a read for a new configuration by hosts that inform others, below [STORE_NEWS_LIMIT]. */
    val COORDINATOR_READ_WAIT: Duration = 800.milliseconds

    /** Waiting time of a read for a new configuration by hosts that inform nobody. */
    val READ_WAIT: Duration = 1200.milliseconds

    /**
     * The entry of a host that has been silent for this long is removed from the store. The host, or another one that
     * hears it, can write it again within [HOSTS_CHECK_INTERVAL], before [PEER_EXPIRY].
     */
    val ENTRY_EXPIRY: Duration = 23.seconds

    /** After this long without a message, a host looks for a new entry of the silent one, before [PEER_EXPIRY]. */
    val ENTRY_CHECK: Duration = 27.seconds

    /** Interval at which the first host by rank checks the list of hosts. */
    val HOSTS_CHECK_INTERVAL: Duration = 4.seconds

    /** Minimum interval between reads of the list of hosts. */
    val HOSTS_READ_INTERVAL: Duration = 2.seconds
}
