package io.anvilvalve.standins.answers

/**
 * A way in which a server sends an answer.
 *
 * @property isWhole whether a reader must take the answer; otherwise it must not.
 * @property end how the connection ends.
 */
enum class AnswerKind(
    val isWhole: Boolean,
    val end: ConnectionEnd = ConnectionEnd.CLOSE,
    internal val text: (SoundAnswer) -> String,
) {
    LENGTH(true, text = { it.head(it.length) + it.body }),
    CHUNKS(true, text = { it.head(CHUNKED) + it.chunk + LAST_CHUNK }),
    CLOSED(true, text = { it.head() + it.body }),
    CLOSED_AFTER_INTERIM(true, text = { CONTINUE + it.head() + it.body }),
    CLOSED_BESIDE_UPLOAD(true, ConnectionEnd.CLOSE_BESIDE_UPLOAD, { it.head() + it.body }),
    LENGTH_AND_RESET(true, ConnectionEnd.RESET, { it.head(it.length) + it.body }),
    LENGTH_AND_RESET_BESIDE_UPLOAD(true, ConnectionEnd.RESET_BESIDE_UPLOAD, { it.head(it.length) + it.body }),
    CHUNKS_AND_RESET_BESIDE_UPLOAD(true, ConnectionEnd.RESET_BESIDE_UPLOAD, {
        it.head(CHUNKED) + it.chunk + LAST_CHUNK
    }),

    RESET(false, ConnectionEnd.RESET, { it.head() + it.beforeReset }),
    RESET_BESIDE_UPLOAD(false, ConnectionEnd.RESET_BESIDE_UPLOAD, { it.head() + it.beforeReset }),
    RESET_BESIDE_UPLOAD_AFTER_INTERIM(
        false,
        ConnectionEnd.RESET_BESIDE_UPLOAD,
        { CONTINUE + it.head() + it.beforeReset },
    ),
    LENGTH_OVER_BODY(false, text = { it.head(it.length) + it.cut }),
    LENGTH_MALFORMED(false, text = { it.head(it.length + "x") + it.body }),
    LENGTHS_THAT_DIFFER(false, text = { it.head(it.length, it.length + "0") + it.body }),
    CODING_UNKNOWN(false, text = { it.head("Transfer-Encoding: identity") + it.body }),
    CHUNKS_WITHOUT_LAST(false, text = { it.head(CHUNKED) + it.chunk }),
    CHUNK_WITH_BYTES_BEHIND(false, text = {
        it.head(CHUNKED) + it.chunk.dropLast(LINE_END.length) + "x$LINE_END$LAST_CHUNK"
    }),
    CHUNK_OF_NEGATIVE_ZERO(false, text = { it.head(CHUNKED) + it.chunk + "-$LAST_CHUNK" }),

    STATUS_WITHOUT_REASON(true, text = { it.withStatus(it.status.substringBefore(' ')) }),
    STATUS_0(false, text = { it.withStatus("0 None") }),
    STATUS_000(false, text = { it.withStatus("000 None") }),
    STATUS_000_BEFORE_WHOLE(false, text = { "HTTP/1.1 000 None\r\n\r\n" + it.withStatus(it.status) }),
    STATUS_099(false, text = { it.withStatus("099 None") }),
    STATUS_099_BEFORE_WHOLE(false, text = { "HTTP/1.1 099 None\r\n\r\n" + it.withStatus(it.status) }),
    STATUS_600(false, text = { it.withStatus("600 None") }),
    STATUS_OF_TWO_DIGITS(false, text = { it.withStatus("20 OK") }),
    STATUS_OF_FOUR_DIGITS(false, text = { it.withStatus("0${it.status}") }),
    STATUS_WITH_SIGN(false, text = { it.withStatus("+20 OK") }),
    STATUS_BELOW_ZERO(false, text = { it.withStatus("-20 OK") }),
    STATUS_WITH_LETTER(false, text = { it.withStatus("2O0 OK") }),
    STATUS_MISSING(false, text = { it.withStatus("") }),
    INTERIM_STATUS_ONLY(false, text = { CONTINUE }),

    NAME_OF_ALL_TOKEN_CHARACTERS(true, text = { it.withFields("!#\$%&'*+-.^_`|~09AZaz: x") }),
    EMPTY_VALUE(true, text = { it.withFields("X-Empty:") }),
    FOLDED_VALUE(true, text = { it.withFields("X-Folded: a\r\n b") }),
    NAME_WITH_SPACE(false, text = { it.withFields("X Name: x") }),
    NAME_WITH_TAB(false, text = { it.withFields("X\tName: x") }),
    NAME_WITH_CONTROL_BYTE(false, text = { it.withFields("X\u0001Name: x") }),
    NAME_WITH_NULL_BYTE(false, text = { it.withFields("X\u0000Name: x") }),
    NAME_WITH_CARRIAGE_RETURN(false, text = { it.withFields("X\rName: x") }),
    NAME_WITH_DELETE_BYTE(false, text = { it.withFields("X\u007fName: x") }),
    NAME_WITH_SEPARATOR(false, text = { it.withFields("X(Name): x") }),
    NAME_NOT_ASCII(false, text = { it.withFields("X\u00fcName: x") }),
    NAME_EMPTY(false, text = { it.withFields(": x") }),
    NAME_MISSING(false, text = { it.withFields("name without a colon") }),
    SPACE_BEFORE_NAME(false, text = { it.withStatus("${it.status}\r\n X-Name: x") }),
    SPACE_BEFORE_COLON(false, text = { it.withFields("X-Name : x") }),
    TAB_BEFORE_COLON(false, text = { it.withFields("X-Name\t: x") }),
    SPACE_BEFORE_COLON_OF_LENGTH(false, text = { it.head(it.length.replace(":", " :")) + it.body }),
    SPACE_BEFORE_COLON_OF_CODING(false, text = { it.head(CHUNKED.replace(":", " :")) + it.chunk + LAST_CHUNK }),
    SPACE_IN_INTERIM_NAME(false, text = { "HTTP/1.1 103 Early Hints\r\nX Name: x\r\n\r\n" + it.withStatus(it.status) }),
    SPACE_IN_TRAILER_NAME(false, text = { it.head(CHUNKED) + it.chunk + "0\r\nX Name: x\r\n\r\n" }),
    TRAILER(true, text = { it.head(CHUNKED) + it.chunk + "0\r\nX-Name: x\r\n\r\n" }),
    ;

    /** Whether the connection ends while the body of the request is sent. */
    val isBesideUpload: Boolean
        get() = end == ConnectionEnd.CLOSE_BESIDE_UPLOAD || end == ConnectionEnd.RESET_BESIDE_UPLOAD

    companion object {
        /** Kinds that are broken behind the last chunk that has data. */
        val brokenBehindData = setOf(
            CHUNKS_WITHOUT_LAST,
            CHUNK_WITH_BYTES_BEHIND,
            CHUNK_OF_NEGATIVE_ZERO,
            SPACE_IN_TRAILER_NAME,
        )

        /** Kinds that are broken behind a sound head. */
        val brokenBehindHead = brokenBehindData +
            setOf(RESET, RESET_BESIDE_UPLOAD, RESET_BESIDE_UPLOAD_AFTER_INTERIM, LENGTH_OVER_BODY)
    }
}

private const val LINE_END = "\r\n"
private const val LAST_CHUNK = "0\r\n\r\n"
private const val CHUNKED = "Transfer-Encoding: chunked"
private const val CONTINUE = "HTTP/1.1 100 Continue\r\n\r\n"
