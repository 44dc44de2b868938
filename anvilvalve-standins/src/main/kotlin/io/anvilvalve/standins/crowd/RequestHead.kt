package io.anvilvalve.standins.crowd

/** Request line and header fields that all requests of a crowd have; [fields] do not end with a line break. */
class RequestHead(private val path: String, private val fields: List<String>) {
    /** Returns the text of a complete header with [more] fields. */
    internal fun text(vararg more: String): String =
        (listOf("POST $path HTTP/1.1") + fields + more).joinToString("") { "$it\r\n" } + "\r\n"
}
