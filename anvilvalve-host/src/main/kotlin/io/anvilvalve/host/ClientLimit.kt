package io.anvilvalve.host

/**
 * Limits on clients that metrics and log lines distinguish.
 *
 * @property label value in metrics and log lines.
 */
internal enum class ClientLimit(val label: String) {
    /** Bytes that the process holds for all clients. */
    HELD_BYTES("held_bytes"),

    /** Bodies that are waited for at the same time. */
    OPEN_BODIES("open_bodies"),

    /** Time to receive a body. */
    BODY_TIME("body_time"),

    /** Time to receive the header of a request. */
    HEADER_TIME("header_time"),

    /** Number of header fields of a request. */
    HEADER_FIELDS("header_fields"),

    /** Number of open connections. */
    CONNECTIONS("connections"),

    /** Time in which a client takes a part of an answer. */
    ANSWER_TIME("answer_time"),

    /** Number of open requests. */
    REQUESTS("requests"),
}
