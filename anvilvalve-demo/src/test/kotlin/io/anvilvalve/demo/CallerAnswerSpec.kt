package io.anvilvalve.demo

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe

/** Guards against a main job that passes although an answer was cut, doubled or wrong. */
class CallerAnswerSpec :
    FunSpec({
        val call = ModelCall(DemoRelease.tenants.first(), DemoRelease.models.first().id, "lot 7", maxTokens = 6)
        val expected = call.expected
        val tokens = expected.trim().split(" ").map { "$it " }

        class Case(val name: String, val answer: CallerAnswer, val faulty: Boolean, val call: ModelCall)

        fun case(name: String, answer: CallerAnswer, faulty: Boolean, of: ModelCall = call) =
            Case(name, answer, faulty, of)

        listOf(
            case("whole", CallerAnswer(200, expected, complete = true), faulty = false),
            case("cut without an end", CallerAnswer(200, tokens[0], complete = false), faulty = true),
            case("cut with an end", CallerAnswer(200, tokens[0], complete = true), faulty = true),
            case("whole without an end", CallerAnswer(200, expected, complete = false), faulty = true),
            case("doubled token", CallerAnswer(200, tokens[0] + expected, complete = true), faulty = true),
            case("doubled end", CallerAnswer(200, expected + tokens.last(), complete = true), faulty = true),
            case("reordered", CallerAnswer(200, tokens.reversed().joinToString(""), complete = true), faulty = true),
            case("failed in mid-stream", CallerAnswer(200, tokens[0], complete = false, "AV-1504"), faulty = true),
            case("failed, may have run", CallerAnswer(502, "", complete = false, "AV-1501"), faulty = true),
            case(
                "refused as not run",
                CallerAnswer(503, "", complete = false, "AV-1302", notRun = true),
                faulty = false,
            ),
            case("not run with text", CallerAnswer(200, tokens[0], false, "AV-1302", notRun = true), faulty = true),
            case("cancelled", CallerAnswer(200, tokens[0], false), faulty = false, call.copy(cancelAfter = 1)),
            case("cancelled and wrong", CallerAnswer(200, tokens[1], false), faulty = true, call.copy(cancelAfter = 1)),
        ).forEach {
            test(it.name) { (it.answer.findViolation(it.call) != null) shouldBe it.faulty }
        }
    })
