package io.anvilvalve.rules.routing

/** Outcome of an order to an engine. */
enum class OrderOutcome {
    /** The engine carries out the order, or already has the ordered stage. */
    ACCEPTED,

    /** The engine refused the order or could not be reached. */
    REFUSED,

    /** Another host has acquired a newer fencing token. */
    FENCE_LOST,

    /** The engine did not answer and may still carry out the order. */
    UNKNOWN,
}
