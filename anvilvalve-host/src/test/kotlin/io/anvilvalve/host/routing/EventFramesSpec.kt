package io.anvilvalve.host.routing

import io.kotest.assertions.throwables.shouldThrow
import io.kotest.assertions.withClue
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.collections.shouldContainExactly
import io.kotest.matchers.longs.shouldBeLessThanOrEqual
import io.kotest.matchers.shouldBe
import okio.Buffer
import okio.ForwardingSource
import okio.Source
import okio.Timeout
import okio.buffer
import java.io.IOException
import kotlin.random.Random

private const val PIECE_BYTES = 4 * 1024

/**
 * Guards against two failures when a backend server breaks a stream off: the caller receives part of an event, and the
 * stream is resumed after an event that the caller has not received.
 */
class EventFramesSpec :
    FunSpec({
        /** Returns one of [pieces] per read, then ends or, with [breaks], throws an [IOException]. */
        fun source(pieces: List<String>, breaks: Boolean = false): Source {
            val left = ArrayDeque(pieces)
            return object : ForwardingSource(Buffer()) {
                override fun read(sink: Buffer, byteCount: Long): Long {
                    val piece = left.removeFirstOrNull()
                    if (piece == null) return if (breaks) throw IOException("reset") else -1
                    sink.writeUtf8(piece)
                    return piece.length.toLong()
                }
            }
        }

        class Case(val name: String, val pieces: List<String>, val relayed: List<String>, val lastId: String?)

        listOf(
            Case("one event", listOf("id: 1\ndata: a\n\n"), listOf("id: 1\ndata: a\n\n"), "1"),
            Case("two events in one read", listOf("id: 1\n\nid: 2\n\n"), listOf("id: 1\n\nid: 2\n\n"), "2"),
            Case("one event in two reads", listOf("id: 1\nda", "ta: a\n\n"), listOf("id: 1\ndata: a\n\n"), "1"),
            Case("an empty line split over two reads", listOf("id: 1\n", "\n"), listOf("id: 1\n\n"), "1"),
            Case("an event with CR LF", listOf("id: 1\r\n\r\n"), listOf("id: 1\r\n\r\n"), "1"),
            Case("an event without an id", listOf("data: a\n\n"), listOf("data: a\n\n"), null),
            Case("an event with an id within its data", listOf("data: id: 7\n\n"), listOf("data: id: 7\n\n"), null),
            Case(
                "data with an id after the id",
                listOf("id: 1\ndata: id: 7\n\n"),
                listOf("id: 1\ndata: id: 7\n\n"),
                "1",
            ),
            Case("an id after the data", listOf("data: a\nid: 1\n\n"), listOf("data: a\nid: 1\n\n"), "1"),
            Case("two ids in an event", listOf("id: 1\nid: 2\n\n"), listOf("id: 1\nid: 2\n\n"), "2"),
            Case("a field whose name begins with id", listOf("id: 1\nidx: 7\n\n"), listOf("id: 1\nidx: 7\n\n"), "1"),
            Case(
                "an event without an id after one with",
                listOf("id: 1\n\ndata: a\n\n"),
                listOf("id: 1\n\ndata: a\n\n"),
                null,
            ),
            Case("a comment after an event", listOf("id: 1\n\n: ping\n\n"), listOf("id: 1\n\n: ping\n\n"), "1"),
            Case("an empty id", listOf("id: 1\n\nid\ndata: a\nid:\n\n"), listOf("id: 1\n\nid\ndata: a\nid:\n\n"), null),
            Case("an id that no header can carry", listOf("id: 1\u00e9\n\n"), listOf("id: 1\u00e9\n\n"), null),
            Case("events with CR", listOf("id: 1\rdata: a\r\rid: 2\r\r"), listOf("id: 1\rdata: a\r\rid: 2\r\r"), "2"),
            Case(
                "a CR LF split over two reads",
                listOf("id: 1\r\n\r", "\nid: 2\r\n\r", "\n"),
                listOf("id: 1\r\n\r", "\nid: 2\r\n\r", "\n"),
                "2",
            ),
            Case("a comment without an empty line", listOf("id: 1\n\n", ": end"), listOf("id: 1\n\n", ": end"), "1"),
            Case("a comment line at the end", listOf("id: 1\n\n", ": end\n"), listOf("id: 1\n\n", ": end\n"), "1"),
            Case("a further line end at the end", listOf("id: 1\n\n\n"), listOf("id: 1\n\n\n"), "1"),
            Case("a LF at the end that belongs to a CR", listOf("id: 1\r\n\r", "\n"), listOf("id: 1\r\n\r", "\n"), "1"),
            Case("nothing", emptyList(), emptyList(), null),
        ).forEach { case ->
            test("relays ${case.name}") {
                val frames = EventFrames(source(case.pieces).buffer())
                val relayed = generateSequence { frames.next()?.decodeToString() }.toList()
                relayed shouldContainExactly case.relayed
                frames.lastId shouldBe case.lastId
            }
        }

        test("an event without end breaks the stream, and no more than its limit is held") {
            val endless = object : Source {
                var sent = 0L

                override fun read(sink: Buffer, byteCount: Long): Long {
                    sink.write(ByteArray(PIECE_BYTES))
                    sent += PIECE_BYTES
                    return PIECE_BYTES.toLong()
                }

                override fun timeout() = Timeout.NONE

                override fun close() = Unit
            }
            shouldThrow<IOException> { EventFrames(endless.buffer()).next() }
            endless.sent shouldBeLessThanOrEqual EventFrames.MAX_EVENT_BYTES + 2 * PIECE_BYTES
        }

        class Broken(val name: String, val rest: String, val breaks: Boolean = false)

        listOf(
            Broken("breaks inside an event", "id: 2\nda", breaks = true),
            Broken("breaks after an event", "", breaks = true),
            Broken("ends inside a line", "id: 2\nda"),
            Broken("ends with a line of an event", "id: 2\ndata: b\n"),
            Broken("ends without the end of the last line", "id: 2\ndata: b"),
            Broken("ends after the first byte of an event", "i"),
            Broken("ends inside an event with CR LF", "id: 2\r\ndata: b\r\n"),
            Broken("ends inside an event with CR", "id: 2\rdata: b\r"),
            Broken("ends inside an event with a comment", "data: b\n: ping"),
            Broken("ends inside an event after a comment", ": ping\ndata: b"),
        ).forEach { case ->
            test("relays only the whole events of a stream that ${case.name}, and reports it as broken") {
                val frames = EventFrames(source(listOf("id: 1\n\n${case.rest}"), case.breaks).buffer())
                frames.next()?.decodeToString() shouldBe "id: 1\n\n"
                shouldThrow<IOException> { frames.next() }
                frames.lastId shouldBe "1"
                frames.count shouldBe 1
            }
        }

        class Cut(val name: String, val stream: String, val complete: Boolean)

        listOf(
            Cut("ends inside a comment", "id: 1\n\n: ping", complete = false),
            Cut("ends inside the first line", ": pi", complete = false),
            Cut("ends between the CR and the LF of an event", "id: 1\r\ndata: a\r\n\r", complete = false),
            Cut("ends between the CR and the LF of a comment", "id: 1\r\n\r\n: ping\r", complete = false),
            Cut("ends with the LF of an event", "id: 1\r\ndata: a\r\n\r\n", complete = true),
            Cut("ends with the CR of an event in which CR ends lines", "id: 1\rdata: a\r\r", complete = true),
            Cut("ends with a comment line", "id: 1\n\n: ping\n", complete = true),
        ).forEach { case ->
            val result = if (case.complete) "complete" else "broken"
            test("a stream without a length and chunks that ${case.name} is $result") {
                val frames = EventFrames(source(listOf(case.stream)).buffer(), endsWithConnection = true)
                val read = { generateSequence { frames.next()?.decodeToString() }.joinToString("") }
                if (case.complete) read() shouldBe case.stream else shouldThrow<IOException> { read() }
            }
        }

        test("relays the same bytes and counts the same events for any split into reads") {
            val whole = (1..40).joinToString("") { "id: $it\ndata: ${"x".repeat(it)}\n\n" }
            val random = Random(seed = 9)
            repeat(200) { round ->
                val pieces = ArrayList<String>()
                var at = 0
                while (at < whole.length) {
                    val end = minOf(whole.length, at + random.nextInt(1, 60))
                    pieces += whole.substring(at, end)
                    at = end
                }
                val frames = EventFrames(source(pieces).buffer())
                withClue("round $round") {
                    generateSequence { frames.next() }.joinToString("") { it.decodeToString() } shouldBe whole
                    frames.count shouldBe 40
                }
            }
        }
    })
