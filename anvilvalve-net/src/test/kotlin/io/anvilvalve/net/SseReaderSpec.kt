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
            Case("without a space", "data:a\n\n", listOf("a")),
            Case("with CR LF", "data: a\r\n\r\ndata: b\r\n\r\n", listOf("a", "b")),
            Case("of several lines", "data: a\ndata: b\n\n", listOf("a\nb")),
            Case("with comments and other fields", ": ping\nid: 1\nevent: x\ndata: a\nretry: 1\n\n", listOf("a")),
            Case("empty", "data\n\n", listOf("")),
            Case("after blank lines", "\n\n\ndata: a\n\n", listOf("a")),
            Case("truncated in its data", "data: a\n\ndata: b", listOf("a")),
            Case("truncated before its blank line", "data: a\n\ndata: b\n", listOf("a")),
            Case("of non-ASCII text", "data: żółw 🐢\n\n", listOf("żółw 🐢")),
            Case("absent", "", emptyList()),
        )
        cases.forEach { case ->
            test("an event ${case.name}") { read(text(case.stream)) shouldContainExactly case.events }
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
