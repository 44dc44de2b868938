package io.anvilvalve.standins.answers

/**
 * A sound answer to a reader, without the headers that state its end; an [AnswerKind] determines how it is sent.
 *
 * @property beforeReset what is sent of the body if its end is that of a connection that is reset.
 */
class SoundAnswer(
    val body: String,
    val fields: List<String> = emptyList(),
    val status: String = "200 OK",
    val beforeReset: String = body,
) {
    internal val length: String get() = "Content-Length: ${body.toByteArray().size}"

    /** A part of the body. */
    internal val cut: String get() = if (beforeReset.length < body.length) beforeReset else body.dropLast(1)

    /** The body as one chunk, without the last chunk that ends it. */
    internal val chunk: String get() = "%x\r\n".format(body.toByteArray().size) + body + "\r\n"

    /** The answer with a length and with [status] in its first line. */
    internal fun withStatus(status: String): String = SoundAnswer(body, fields, status, beforeReset).head(length) + body

    /** The answer with a length and with [more] fields. */
    internal fun withFields(vararg more: String): String = head(*more, length) + body

    internal fun head(vararg more: String): String =
        (listOf("HTTP/1.1 $status") + fields + more).joinToString("\r\n", postfix = "\r\n\r\n")
}
