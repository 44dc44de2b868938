package io.anvilvalve.net

import okhttp3.Interceptor
import okhttp3.Response
import java.net.ProtocolException

/**
 * Fails a call whose answer has an undefined status, a malformed header name, a malformed length or an unknown transfer
 * coding.
 *
 * The HTTP client would read a body without a known length up to the end of the connection, so a body that ends early
 * would look complete.
 */
internal object HeadCheck : Interceptor {
    private val statuses = 100..599

    override fun intercept(chain: Interceptor.Chain): Response {
        val response = chain.proceed(chain.request())
        fault(response.code, response.headers)?.let { throw ProtocolException(it) }
        return response
    }

    /** Returns why an answer with [status] and [head] is not sound; null if it is, or if nothing shows it. */
    fun fault(status: Int, head: Iterable<Pair<String, String>>): String? =
        if (status in statuses) nameFault(head) ?: framingFault(head) else "the answer has the undefined status $status"

    /** Whether [name] is a token as RFC 9110, section 5.6.2, defines it. */
    fun isName(name: String): Boolean = name.isNotEmpty() && name.all(::isInToken)

    /** Whether exactly one header of [head] tells where the body ends; a server that sends two may mean either. */
    fun isDelimitedOnce(head: Iterable<Pair<String, String>>): Boolean =
        head.values(CONTENT_LENGTH).size + head.values(TRANSFER_ENCODING).size == 1

    /** Returns [name] without characters that a log or a terminal would interpret. */
    fun visible(name: String): String = name.map { if (it in '!'..'~') it else '?' }.joinToString("")

    private fun isInToken(char: Char) =
        char in 'a'..'z' || char in 'A'..'Z' || char in '0'..'9' || char in TOKEN_SYMBOLS

    private fun nameFault(head: Iterable<Pair<String, String>>): String? {
        val (name, _) = head.firstOrNull { (name, _) -> !isName(name) } ?: return null
        return "the answer has the malformed header name '${visible(name)}'"
    }

    /** Returns why [head] does not tell where the body ends; null if it does, or if the body ends with its connection. */
    private fun framingFault(head: Iterable<Pair<String, String>>): String? {
        val lengths = head.values(CONTENT_LENGTH).distinct()
        val codings = head.values(TRANSFER_ENCODING)
        return when {
            lengths.size > 1 -> "the answer has several lengths: $lengths"
            lengths.any { !isLength(it) } -> "the answer has a malformed length: ${lengths.first()}"
            codings.size > 1 -> "the answer has several transfer codings: $codings"
            codings.any { !it.equals("chunked", ignoreCase = true) } -> "unknown transfer coding: ${codings.first()}"
            else -> null
        }
    }

    private fun Iterable<Pair<String, String>>.values(name: String) =
        filter { it.first.equals(name, ignoreCase = true) }.map { it.second }

    private fun isLength(value: String) = value.all { it in '0'..'9' } && value.toLongOrNull() != null

    private const val TOKEN_SYMBOLS = "!#$%&'*+-.^_`|~"
    private const val CONTENT_LENGTH = "Content-Length"
    private const val TRANSFER_ENCODING = "Transfer-Encoding"
}
