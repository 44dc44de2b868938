package io.anvilvalve.demo

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe

/** Guards against a demo run that passes although an answer was truncated, duplicated, reordered or wrong. */
class CallerAnswerSpec :
    FunSpec({
        val call = ModelCall(DemoRelease.tenants.first(), DemoRelease.models.first().id, "lot 7", maxTokens = 6)
        val expected = call.expected
        val tokens = expected.trim().split(" ").map { "$it " }

        class Case(val name: String, val answer: CallerAnswer, val faulty: Boolean, val call: ModelCall)

        fun case(name: String, answer: CallerAnswer, faulty: Boolean, of: ModelCall = call) =
            Case(name, answer, faulty, of)

        listOf(
            case("complete", CallerAnswer(200, expected, complete = true), faulty = false),
            case("truncated without an end marker", CallerAnswer(200, tokens[0], complete = false), faulty = true),
            case("truncated with an end marker", CallerAnswer(200, tokens[0], complete = true), faulty = true),
            case("complete text without an end marker", CallerAnswer(200, expected, complete = false), faulty = true),
            case("duplicated token", CallerAnswer(200, tokens[0] + expected, complete = true), faulty = true),
            case("duplicated last token", CallerAnswer(200, expected + tokens.last(), complete = true), faulty = true),
            case("reordered", CallerAnswer(200, tokens.reversed().joinToString(""), complete = true), faulty = true),
            case("failed mid-stream", CallerAnswer(200, tokens[0], complete = false, "AV-1504"), faulty = true),
            case("failed, possibly executed", CallerAnswer(502, "", complete = false, "AV-1501"), faulty = true),
            case(
                "refused as not executed",
                CallerAnswer(503, "", complete = false, "AV-1302", notRun = true),
                faulty = false,
            ),
            case("refused after text", CallerAnswer(200, tokens[0], false, "AV-1302", notRun = true), faulty = true),
            case("cancelled", CallerAnswer(200, tokens[0], false), faulty = false, call.copy(cancelAfter = 1)),
            case("cancelled, wrong", CallerAnswer(200, tokens[1], false), faulty = true, call.copy(cancelAfter = 1)),
        ).forEach {
            test(it.name) { (it.answer.findViolation(it.call) != null) shouldBe it.faulty }
        }
    })
