package io.anvilvalve.demo

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe

/** Guards against a main job that passes although an answer was cut, doubled or wrong. */
class CallerAnswerSpec :
    FunSpec({
        val call = ModelCall(DemoRelease.tenants.first(), DemoRelease.models.first().id, "lot 7", maxTokens = 6)
        val whole = call.expected
        val tokens = whole.trim().split(" ").map { "$it " }

        class Case(val name: String, val answer: CallerAnswer, val fault: Boolean, val call: ModelCall)

        fun case(name: String, answer: CallerAnswer, fault: Boolean, of: ModelCall = call) =
            Case(name, answer, fault, of)

        listOf(
            case("whole", CallerAnswer(200, whole, complete = true), fault = false),
            case("cut without an end", CallerAnswer(200, tokens[0], complete = false), fault = true),
            case("cut with an end", CallerAnswer(200, tokens[0], complete = true), fault = true),
            case("whole without an end", CallerAnswer(200, whole, complete = false), fault = true),
            case("doubled token", CallerAnswer(200, tokens[0] + whole, complete = true), fault = true),
            case("doubled end", CallerAnswer(200, whole + tokens.last(), complete = true), fault = true),
            case("reordered", CallerAnswer(200, tokens.reversed().joinToString(""), complete = true), fault = true),
            case("failed in mid-stream", CallerAnswer(200, tokens[0], complete = false, "AV-1504"), fault = true),
            case("failed, may have run", CallerAnswer(502, "", complete = false, "AV-1501"), fault = true),
            case(
                "refused as not run",
                CallerAnswer(503, "", complete = false, "AV-1302", notRun = true),
                fault = false,
            ),
            case("not run with text", CallerAnswer(200, tokens[0], false, "AV-1302", notRun = true), fault = true),
            case("cancelled", CallerAnswer(200, tokens[0], false), fault = false, call.copy(cancelAfter = 1)),
            case("cancelled and wrong", CallerAnswer(200, tokens[1], false), fault = true, call.copy(cancelAfter = 1)),
        ).forEach {
            test(it.name) { (it.answer.faultOf(it.call) != null) shouldBe it.fault }
        }
    })
