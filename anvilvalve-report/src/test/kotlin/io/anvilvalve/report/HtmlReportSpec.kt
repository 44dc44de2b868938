package io.anvilvalve.report

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import io.kotest.matchers.string.shouldContain
import io.kotest.matchers.string.shouldNotContain
import org.w3c.dom.Document
import org.w3c.dom.Element
import java.io.ByteArrayInputStream
import javax.xml.parsers.DocumentBuilderFactory

/** Guards against a page that is malformed, refers to other files or does not escape the names in it. */
class HtmlReportSpec :
    FunSpec({
        fun sample(atMillis: Long, count: Double, organisation: String) = Sample(
            atMillis,
            "h",
            listOf(
                Counter(Measure.FIRST_TOKENS, organisation, "m", count),
                Counter(Measure.FIRST_TOKENS_MET, organisation, "m", count / 2),
                Counter(Measure.REFUSED_WITHIN_RATE, organisation, "", count),
            ),
        )

        fun page(samples: List<Sample>): String = HtmlReport(BurnReport.of(samples, atMillis = 10_000_000)).render()

        fun parse(page: String): Document {
            val body = page.removePrefix("<!DOCTYPE html>")
            return DocumentBuilderFactory.newInstance().newDocumentBuilder().parse(
                ByteArrayInputStream(body.toByteArray()),
            )
        }

        fun Document.classes(tag: String): List<String> = getElementsByTagName(tag).let { nodes ->
            (0 until nodes.length).map { (nodes.item(it) as Element).getAttribute("class") }
        }

        val hostile = "<script>alert(1)</script>\"'&"

        test("the page is well formed, refers to no other files and escapes names") {
            val page =
                page(listOf(sample(1_000, 0.0, hostile), sample(9_900_000, 10.0, hostile), Sample(9_900_000, "x<y")))
            parse(page).classes("td").count { it == "number hot" } shouldBe Window.entries.size
            listOf("<script", "http:", "https:", "src=", "href=", "@import", "url(").forEach {
                page shouldNotContain it
            }
            page shouldContain "&lt;script&gt;alert(1)"
        }

        test("the page without samples is well formed") {
            page(emptyList()).also(::parse) shouldContain "No answers"
        }

        test("charts draw one line per run of values and leave gaps empty") {
            class Case(val values: List<Double?>, val lines: Int)
            listOf(
                Case(listOf(null, null), lines = 0),
                Case(listOf(1.0, 2.0, 30.0), lines = 1),
                Case(listOf(1.0, null, 2.0, 2.0, null), lines = 2),
            ).forEach { case ->
                val svg = parse(LineChart(100, 50, axes = true).render("t", case.values))
                svg.getElementsByTagName("polyline").length shouldBe case.lines
            }
        }

        test("the text report lists each service with its burn and state") {
            val report = BurnReport.of(listOf(sample(1_000, 0.0, "o"), sample(9_900_000, 10.0, "o")), 10_000_000)
            val text = TextReport(report).render()
            text shouldContain Regex("o / m +10\\.0 +10\\.0 +10\\.0 +10\\.0 +fast burn")
        }
    })
