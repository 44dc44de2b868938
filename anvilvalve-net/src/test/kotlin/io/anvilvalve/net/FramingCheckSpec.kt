package io.anvilvalve.net

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import okhttp3.Headers.Companion.headersOf

/** Guards against a body that is read up to the end of its connection because its length cannot be read. */
class FramingCheckSpec :
    FunSpec({
        class Case(val fields: List<Pair<String, String>>, val accepted: Boolean)

        fun lengths(vararg values: String) = values.map { "Content-Length" to it }

        fun codings(vararg values: String) = values.map { "Transfer-Encoding" to it }

        listOf(
            Case(emptyList(), accepted = true),
            Case(lengths("0"), accepted = true),
            Case(lengths("5", "5"), accepted = true),
            Case(codings("chunked"), accepted = true),
            Case(codings("Chunked"), accepted = true),
            Case(lengths("5") + codings("chunked"), accepted = true),
            Case(lengths("5", "6"), accepted = false),
            Case(lengths("5, 6"), accepted = false),
            Case(lengths("-5"), accepted = false),
            Case(lengths("-1"), accepted = false),
            Case(lengths("+5"), accepted = false),
            Case(lengths("5x"), accepted = false),
            Case(lengths(""), accepted = false),
            Case(lengths("99999999999999999999"), accepted = false),
            Case(codings("gzip, chunked"), accepted = false),
            Case(codings("gzip", "chunked"), accepted = false),
            Case(codings("identity"), accepted = false),
        ).forEach { case ->
            test("an answer with ${case.fields} is ${if (case.accepted) "accepted" else "refused"}") {
                val head = headersOf(*case.fields.flatMap { (name, value) -> listOf(name, value) }.toTypedArray())
                (FramingCheck.fault(head) == null) shouldBe case.accepted
            }
        }
    })
