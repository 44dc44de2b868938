package io.anvilvalve.settings

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import java.net.URI
import java.nio.file.Files
import java.nio.file.InvalidPathException
import java.nio.file.Path
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Reads typed settings from [document] and collects every fault, so that a failed start reports all of them.
 *
 * A setting without a default is required. [finish] reports every key that was not read as unknown.
 *
 * @param directory directory against which relative file names are resolved.
 */
internal class SettingsCollector(private val document: IniDocument, private val directory: Path) {
    private val entries = document.entries.associateBy { it.section to it.key }
    private val knownKeys = mutableSetOf<Pair<String, String>>()
    private val knownSections = mutableSetOf<String>()
    private val faults = document.faults.toMutableList()

    fun name(section: String, key: String): String =
        read(section, key, "a name of 1 to 63 letters, digits, '.', '_' and '-'", "") {
            it.takeIf(namePattern::matches)
        }
            .orEmpty()

    fun text(section: String, key: String, default: String): String =
        read(section, key, "a text of 1 to 200 characters", default) { v -> v.takeIf { it.length in 1..MAX_LENGTH } }!!

    fun int(section: String, key: String, default: Int, range: IntRange): Int =
        read(section, key, "a whole number from ${range.first} to ${range.last}", default) { value ->
            value.toIntOrNull()?.takeIf { it in range }
        }!!

    fun port(section: String, key: String, default: Int): Int = int(section, key, default, 0..MAX_PORT)

    fun millis(section: String, key: String, default: Duration, range: LongRange): Duration =
        wholeNumber(section, key, "milliseconds", default.inWholeMilliseconds, range).milliseconds

    fun seconds(section: String, key: String, default: Duration, range: LongRange): Duration =
        wholeNumber(section, key, "seconds", default.inWholeSeconds, range).seconds

    fun address(section: String, key: String, default: String?): String =
        read(section, key, "an IP address", default ?: "", required = default == null) { it.takeIf(::isIpAddress) }!!

    fun addresses(section: String, key: String): List<String> =
        read(section, key, "a comma-separated list of IP addresses with ports", emptyList()) { value ->
            value.split(",").map { it.trim() }.takeIf { list -> list.all(::isIpAddressAndPort) }
        }!!

    /** IP address and port, such as `10.0.0.1:8080`. */
    fun endpoint(section: String, key: String): Endpoint =
        read(section, key, "an IP address and port", Endpoint("", 0), required = true) { value ->
            value.takeIf(::isIpAddressAndPort)?.let {
                Endpoint(it.substringBeforeLast(":"), it.substringAfterLast(":").toInt())
            }
        }!!

    /** With [blankIsDefault], an empty value means [default], because a template may have no value for it. */
    fun decimal(
        section: String,
        key: String,
        default: Double,
        range: ClosedFloatingPointRange<Double>,
        blankIsDefault: Boolean = false,
    ): Double = read(section, key, "a number from ${range.start} to ${range.endInclusive}", default) { value ->
        if (blankIsDefault && value.isBlank()) default else value.toDoubleOrNull()?.takeIf { it in range }
    }!!

    /** All keys of [section] with their values, which are names; the section may be missing or empty. */
    fun names(section: String): Map<String, String> {
        knownSections += section
        return document.entries.filter { it.section == section }.associate { entry ->
            if (!namePattern.matches(entry.key)) {
                knownKeys += section to entry.key
                faults += SettingsFault(section, entry.key, entry.line, "the key is not a name")
            }
            entry.key to name(section, entry.key)
        }
    }

    fun url(section: String, key: String): String =
        read(section, key, "an http or https URL with host", "", required = true) { it.takeIf(::isHttpUrl) }!!

    fun <E : Enum<E>> choice(section: String, key: String, default: E, options: List<E>): E {
        val allowed = "one of " + options.joinToString { it.name.lowercase() }
        return read(section, key, allowed, default) { v -> options.find { it.name.lowercase() == v } }!!
    }

    /** Path of a readable file with at least [minLength] characters, not counting surrounding white space. */
    fun secretFile(section: String, key: String, minLength: Int): Path = read(
        section,
        key,
        "a readable file with at least $minLength characters",
        Path.of(""),
        required = true,
    ) { value ->
        resolve(value)?.takeIf { Files.isReadable(it) && !Files.isDirectory(it) && secretLength(it) >= minLength }
    }!!

    /** Returns [settings], or all faults, including unknown sections and keys, sorted by line. */
    fun <T> finish(settings: T): Either<List<SettingsFault>, T> {
        val knownSections = knownSections + knownKeys.map { it.first }
        document.sections.filterKeys { it !in knownSections }.forEach { (section, line) ->
            faults += SettingsFault(section, null, line, "unknown section; allowed: ${knownSections.joinToString()}")
        }
        document.entries.filter { it.section in knownSections && it.section to it.key !in knownKeys }.forEach { entry ->
            val keys = knownKeys.filter { it.first == entry.section }.joinToString { it.second }
            faults += SettingsFault(entry.section, entry.key, entry.line, "unknown key; allowed: $keys")
        }
        return if (faults.isEmpty()) settings.right() else faults.sortedBy { it.line ?: Int.MAX_VALUE }.left()
    }

    private fun wholeNumber(section: String, key: String, unit: String, default: Long, range: LongRange): Long =
        read(section, key, "$unit from ${range.first} to ${range.last}", default) { value ->
            value.toLongOrNull()?.takeIf { it in range }
        }!!

    private fun <T> read(
        section: String,
        key: String,
        allowed: String,
        default: T,
        required: Boolean = default == "",
        parse: (String) -> T?,
    ): T? {
        knownKeys += section to key
        val entry = entries[section to key]
        if (entry == null) {
            if (required) faults += SettingsFault(section, key, null, "is missing; allowed: $allowed")
            return default
        }
        val parsed = parse(entry.value)
        if (parsed == null) faults += SettingsFault(section, key, entry.line, "'${entry.value}' is not $allowed")
        return parsed ?: default
    }

    private fun resolve(value: String): Path? = try {
        directory.resolve(value).takeIf { value.isNotEmpty() }
    } catch (_: InvalidPathException) {
        null
    }

    private fun secretLength(path: Path): Int = Files.readString(path).trim().length

    private companion object {
        const val MAX_LENGTH = 200
        const val MAX_PORT = 65_535
        const val MAX_OCTET = 255
        val namePattern = Regex("[A-Za-z0-9][A-Za-z0-9._-]{0,62}")
        val ipv6Pattern = Regex("[0-9a-fA-F:]*:[0-9a-fA-F:.]*")

        /** Host names are refused: the platform is addressed by IP address, and a DNS lookup can stall the start. */
        fun isIpAddress(value: String): Boolean {
            val parts = value.split(".")
            val ipv4 = parts.size == 4 && parts.all { part -> part.toIntOrNull()?.let { it in 0..MAX_OCTET } == true }
            return ipv4 || ipv6Pattern.matches(value)
        }

        fun isIpAddressAndPort(value: String): Boolean {
            val port = value.substringAfterLast(":", "").toIntOrNull() ?: return false
            return port in 1..MAX_PORT && isIpAddress(value.substringBeforeLast(":").removeSurrounding("[", "]"))
        }

        fun isHttpUrl(value: String): Boolean = try {
            URI(value).let { it.scheme in setOf("http", "https") && it.host != null }
        } catch (_: java.net.URISyntaxException) {
            false
        }
    }
}
