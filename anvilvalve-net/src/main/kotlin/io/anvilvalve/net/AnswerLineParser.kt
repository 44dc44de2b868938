package io.anvilvalve.net

import org.apache.hc.core5.http.Header
import org.apache.hc.core5.http.ParseException
import org.apache.hc.core5.http.message.BasicHeader
import org.apache.hc.core5.http.message.BasicLineParser
import org.apache.hc.core5.util.CharArrayBuffer

/** Parses header lines with their names as they were sent; the library would leave out spaces, which [HeadCheck] refuses. */
internal object AnswerLineParser : BasicLineParser() {
    override fun parseHeader(line: CharArrayBuffer): Header {
        val colon = line.indexOf(':'.code)
        if (colon < 0) throw ParseException("a header has no colon")
        return BasicHeader(line.substring(0, colon), line.substringTrimmed(colon + 1, line.length))
    }
}
