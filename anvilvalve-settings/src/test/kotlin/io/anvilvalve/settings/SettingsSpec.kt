package io.anvilvalve.settings

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.collections.shouldContainExactlyInAnyOrder
import io.kotest.matchers.shouldBe
import io.kotest.matchers.string.shouldContain
import java.nio.file.Files
import java.nio.file.Path

/** Guards against invalid, misspelt or duplicate settings with which a process still starts. */
class SettingsSpec :
    FunSpec({
        val directory = Files.createTempDirectory("anvilvalve-settings")
        val secret = "0123456789abcdef"
        listOf("operator.token", "peer.secret").forEach { Files.writeString(directory.resolve(it), "$secret\n") }
        Files.writeString(directory.resolve("short"), "short")
        afterSpec { directory.toFile().deleteRecursively() }

        fun sample(name: String): String = Files.readString(Path.of("../docs/sample/$name"))

        fun write(text: String): Path = Files.writeString(directory.resolve("test.ini"), text)

        val host = sample("anvilvalved.ini")

        fun faults(text: String): List<SettingsFault> = HostSettings.load(write(text)).leftOrNull().orEmpty()

        test("the daemon's sample equals the defaults") {
            HostSettings.load(write(host)).getOrNull() shouldBe HostSettings(
                HostSettings.Host("host-1", "dc-1", "region-1", "127.0.0.1"),
                "http://127.0.0.1:7000",
                "http://127.0.0.1:7001",
                HostSettings.Operators(directory.resolve("operator.token")),
                HostSettings.Peers(directory.resolve("peer.secret")),
            )
        }

        test("the daemon's sample lists every setting, and the optional ones can be omitted without effect") {
            val required = setOf("id", "data_centre", "region", "url", "token_file", "secret_file")
            val short = host.lines().filter { line ->
                val key = line.substringBefore("=").trim()
                line.startsWith("[") || key in required || line == "address = 127.0.0.1"
            }
            HostSettings.load(write(short.joinToString("\n"))) shouldBe HostSettings.load(write(host))
            val known = faults("$host\n[callers2]\n").single().message
            known shouldContain "host, log, live_list, operators, peers, callers, engines, output"
            listOf("host", "log", "callers", "operators", "peers", "engines", "output").forEach { section ->
                val allowed = faults(host.replace("[$section]", "[$section]\nzzz = 1")).single().message
                val keys = allowed.substringAfter("allowed: ").split(", ").toSet()
                val shown = host.substringAfter("[$section]").substringBefore("\n[").lines()
                    .filter { "=" in it && !it.startsWith("#") }
                    .map { it.substringBefore("=").trim() }
                keys shouldBe shown.toSet()
            }
        }

        test("the client's sample equals the defaults") {
            ClientSettings.load(write(sample("anvilvalvectl.ini"))).getOrNull() shouldBe
                ClientSettings("http://127.0.0.1:7000", "http://127.0.0.1:7001", directory.resolve("operator.token"))
        }

        test("the client accepts a list of addresses and refuses an invalid one") {
            val text = sample("anvilvalvectl.ini").replace("# addresses", "addresses")
            ClientSettings.load(write(text)).getOrNull()?.operatorAddresses shouldBe
                listOf("127.0.0.1:8081", "127.0.0.1:8181")
            val wrong = ClientSettings.load(write(text.replace("127.0.0.1:8181", "localhost:1"))).leftOrNull()!!
            wrong.single().key shouldBe "addresses"
        }

        class Case(val from: String, val to: String, val section: String, val key: String?, val message: String)

        listOf(
            Case("port = 8080", "port = 70000", "callers", "port", "a whole number from 0 to 65535"),
            Case("port = 8080", "port = -1", "callers", "port", "a whole number from 0 to 65535"),
            Case("port = 8080", "port = eighty", "callers", "port", "'eighty' is not a whole number"),
            Case("port = 8080", "port =", "callers", "port", "'' is not a whole number"),
            Case("port = 8080", "prot = 8080", "callers", "prot", "unknown key; allowed: address, port"),
            Case("max_body_bytes = 4194304", "max_body_bytes = 4194305", "callers", "max_body_bytes", "to 4194304"),
            Case(
                "idle_timeout_ms = 30000",
                "idle_timeout_ms = 99",
                "callers",
                "idle_timeout_ms",
                "milliseconds from 100",
            ),
            Case("[output]", "[outptu]", "outptu", null, "unknown section; allowed: host"),
            Case("[output]", "[callers]", "callers", null, "duplicate section, first on line 21"),
            Case("id = host-1", "id = a b", "host", "id", "'a b' is not a name"),
            Case("id = host-1", "id = host-1\nid = host-2", "host", "id", "duplicate key, first on line 6"),
            Case("address = 127.0.0.1", "address = localhost", "host", "address", "'localhost' is not an IP address"),
            Case("address = 127.0.0.1", "address = 1.2.3.256", "host", "address", "is not an IP address"),
            Case("url = http://127.0.0.1:7000", "url = ftp://x", "log", "url", "is not an http or https URL"),
            Case("url = http://127.0.0.1:7000", "url = 127.0.0.1", "log", "url", "is not an http or https URL"),
            Case("secret_file = peer.secret", "secret_file = none", "peers", "secret_file", "a readable file"),
            Case("secret_file = peer.secret", "secret_file = short", "peers", "secret_file", "at least 16 characters"),
            Case("format = plain", "format = xml", "output", "format", "'xml' is not one of plain, json"),
        ).forEach { case ->
            test("'${case.to.replace("\n", " ")}' is refused with its line number") {
                val text = host.replaceFirst(case.from, case.to)
                val fault = faults(text).first { it.section == case.section && it.key == case.key }
                fault.message shouldContain case.message
                text.lines()[fault.line!! - 1] shouldBe case.to.lines().last()
                fault.toString() shouldContain "line ${fault.line}: [${case.section}]"
            }
        }

        test("every missing setting is listed at once") {
            faults("").map { "${it.section}.${it.key}" } shouldContainExactlyInAnyOrder listOf(
                "host.id",
                "host.data_centre",
                "host.region",
                "host.address",
                "log.url",
                "live_list.url",
                "operators.token_file",
                "peers.secret_file",
            )
        }

        test("several faults are listed at once, in the order of their lines") {
            val text = host.replace("port = 8080", "port = x").replace("format = plain", "format = x")
            faults(text).map { it.key } shouldBe listOf("port", "format")
        }

        test("a malformed file is refused, and an unreadable file is one fault") {
            faults("[host\nid = 1").isNotEmpty() shouldBe true
            HostSettings.load(directory.resolve("absent")).leftOrNull()!!.single().message shouldContain
                "cannot be read"
        }
    })
