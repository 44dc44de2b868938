package io.anvilvalve.api.result

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.collections.shouldBeUnique
import io.kotest.matchers.collections.shouldContainExactly
import java.io.File

/** Guards against result codes and log events that differ between the documentation and the code. */
class CatalogueSpec :
    FunSpec({
        fun rows(page: String): List<String> = File("../docs/$page").readLines().filter { it.startsWith("| AV") }

        test("result codes in the documentation equal the code") {
            rows("result-codes.md") shouldContainExactly ResultCode.entries.map {
                "| ${it.code} | ${it.name} | ${it.httpStatus} | ${it.executed.name.lowercase()} | ${it.meaning} |"
            }
        }

        test("log events in the documentation equal the code") {
            rows("log-events.md") shouldContainExactly
                LogEvent.entries.map { "| ${it.code} | ${it.name} | ${it.meaning} |" }
        }

        test("numbers are unique") {
            ResultCode.entries.map { it.number }.shouldBeUnique()
            LogEvent.entries.map { it.number }.shouldBeUnique()
        }
    })
