package io.anvilvalve.api.routing

/** Kind of a route's requests, which decides whether they may run more than once. */
enum class RequestKind {
    /** May run more than once. */
    IDEMPOTENT,

    /** May run at most once. */
    NON_IDEMPOTENT,

    /** Answered by a series of events; runs at most once unless the route is resumable. */
    STREAM,
}
