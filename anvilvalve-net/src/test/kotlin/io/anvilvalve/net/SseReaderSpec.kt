package io.anvilvalve.net

import io.kotest.assertions.throwables.shouldThrow
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.collections.shouldContainExactly
import io.kotest.matchers.shouldBe
import okio.Buffer
import okio.ForwardingSource
import okio.Source
import okio.buffer
import java.io.IOException
import kotlin.random.Random

/** Guards against events that are lost, merged, truncated or returned before they are complete. */
class SseReaderSpec :
    FunSpec({
        fun read(source: Source, limit: Long = 1_000): List<String> {
            val reader = SseReader(source.buffer(), limit)
            return generateSequence { reader.next() }.toList()
        }

        fun text(value: String) = Buffer().writeUtf8(value)

        class Case(val name: String, val stream: String, val events: List<String>)

        val cases = listOf(
            Case("one event", "data: a\n\n", listOf("a")),
            Case("an event without a space after the colon", "data:a\n\n", listOf("a")),
            Case("CR LF line ends", "data: a\r\n\r\ndata: b\r\n\r\n", listOf("a", "b")),
            Case("an event of several data lines", "data: a\ndata: b\n\n", listOf("a\nb")),
            Case("comments and other fields", ": ping\nid: 1\nevent: x\ndata: a\nretry: 1\n\n", listOf("a")),
            Case("an event without data", "data\n\n", listOf("")),
            Case("blank lines before an event", "\n\n\ndata: a\n\n", listOf("a")),
            Case("an event truncated in its data", "data: a\n\ndata: b", listOf("a")),
            Case("an event truncated before its blank line", "data: a\n\ndata: b\n", listOf("a")),
            Case("non-ASCII text", "data: żółw 🐢\n\n", listOf("żółw 🐢")),
            Case("no events", "", emptyList()),
        )
        cases.forEach { case ->
            test("a stream with ${case.name} yields exactly its complete events") {
                read(text(case.stream)) shouldContainExactly case.events
            }
        }

        test("the events do not depend on how the bytes are split into reads") {
            val stream = cases.joinToString("") { it.stream + "\n\n" }
            val expected = read(text(stream))
            val random = Random(seed = 3)
            repeat(200) {
                val fragments = object : ForwardingSource(text(stream)) {
                    override fun read(sink: Buffer, byteCount: Long) = super.read(sink, random.nextLong(1, 6))
                }
                read(fragments) shouldContainExactly expected
            }
        }

        test("an event is returned before the bytes after it have arrived") {
            val failing = object : ForwardingSource(text("data: a\n\n")) {
                override fun read(sink: Buffer, byteCount: Long): Long {
                    val count = super.read(sink, byteCount)
                    check(count >= 0) { "read past the event" }
                    return count
                }
            }
            SseReader(failing.buffer()).next() shouldBe "a"
        }

        listOf(
            "line" to "data: " + "x".repeat(2_000),
            "event" to "data: 12345678\n".repeat(200),
        ).forEach { (name, stream) ->
            test("a $name over the size limit is refused, so that it cannot fill the memory") {
                shouldThrow<IOException> { read(text(stream)) }
            }
        }
    })
