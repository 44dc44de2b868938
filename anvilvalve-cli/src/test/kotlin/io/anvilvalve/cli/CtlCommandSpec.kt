package io.anvilvalve.cli

import arrow.core.left
import arrow.core.right
import com.github.ajalt.clikt.testing.test
import io.anvilvalve.api.id.KeyHash
import io.anvilvalve.standins.FakeLogService
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import io.kotest.matchers.string.shouldContain
import io.kotest.matchers.string.shouldNotContain
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.jsonObject
import kotlinx.serialization.json.jsonPrimitive
import java.nio.file.Files

/** Guards against changed exit codes and output, against unstable note ids and against keys shown in the output. */
class CtlCommandSpec :
    FunSpec({
        val text = """{"expectedPrevious": 0, "changes": [{"type": "put-model", "model": {"id": "m"}}]}"""

        fun write(content: String) = Files.createTempFile("note", ".json").also {
            it.toFile().deleteOnExit()
            Files.writeString(it, content)
        }

        fun command(log: FakeLogService = FakeLogService()) =
            CtlCommand.create { CommandContext(log, FakeOperators.of(size = 1), listOf("10.0.0.1:8081")).right() }

        test("publish prints JSON and exits with 0, and history and status show the release") {
            val log = FakeLogService()
            val result = command(log).test("--json publish ${write(text)}")
            result.statusCode shouldBe 0
            val json = Json.parseToJsonElement(result.stdout).jsonObject
            json.getValue("result").jsonPrimitive.content shouldBe "ok"
            json.getValue("release").jsonPrimitive.content shouldBe "1"
            command(log).test("history").stdout shouldContain "release 1"
            command(log).test("status").stdout shouldContain "log: release 1, offset 0"
        }

        listOf(
            text.replace("m\"", "m m\"") to "AV-1701",
            text.replace("changes", "change") to "AV-1701",
            "{" to "AV-1701",
        ).forEach { (content, code) ->
            test("the note $content is rejected with $code") {
                val result = command().test("validate ${write(content)}")
                result.statusCode shouldBe ExitCode.REJECTED.number
                result.stderr shouldContain code
            }
        }

        test("a missing note id is derived from the content") {
            val first = NoteFile.parse(text, "op").getOrNull()?.id
            NoteFile.parse(" $text", "op").getOrNull()?.id shouldBe first
            (NoteFile.parse(text.replace("0,", "1,"), "op").getOrNull()?.id == first) shouldBe false
        }

        test("key hash reads the key from standard input and does not print it") {
            val result = command().test("key hash", stdin = "secret-key\n")
            result.stdout.trim() shouldBe KeyHash.of("secret-key").hex
            result.output shouldNotContain "secret-key"
        }

        test("faulty settings exit with the usage code, a malformed hash with the code for rejected input") {
            CtlCommand.create { listOf("fault").left() }.test("history").statusCode shouldBe ExitCode.USAGE.number
            command().test("key withdraw abc").statusCode shouldBe ExitCode.REJECTED.number
        }
    })
