package io.anvilvalve.rules.routing

/** Why a request was refused for lack of capacity, quota or knowledge; [text] is the form in logs and metrics. */
enum class RefusalReason(val text: String) {
    /** No server of the service can be used. */
    NO_SERVER("no_server"),

    /** The turn of the request comes too late to answer before its deadline. */
    DEADLINE("deadline"),

    /** The turn of the request comes after its caller leaves, because a stream has had no event. */
    PATIENCE("patience"),

    /** The queue could be served in time, but not the part of it that exceeds the organisation's share. */
    SHARE("share"),

    /** All hosts together have used up the organisation's quota. */
    QUOTA("quota"),

    /** It is not known which version of the servers began the stream that the caller takes up. */
    STREAM("stream"),
}
