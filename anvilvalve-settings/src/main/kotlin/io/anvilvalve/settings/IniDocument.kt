package io.anvilvalve.settings

import org.ini4j.Config
import org.ini4j.Ini
import java.io.IOException
import java.io.StringReader

/** A setting and its line number, starting at 1; [line] is null when the scan found no line for it. */
internal class IniEntry(val section: String, val key: String, val value: String, val line: Int?)

/** A parsed INI file: its entries, the line number of each section header, and syntax faults. */
internal class IniDocument(
    val entries: List<IniEntry>,
    val sections: Map<String, Int>,
    val faults: List<SettingsFault>,
) {
    companion object {
        private val sectionPattern = Regex("""\[\s*([^]]*?)\s*]""")
        private val optionPattern = Regex("""([^=:]*?)\s*[=:].*""")

        /** Parses [text] with ini4j; a separate scan finds the line numbers, because ini4j does not report them. */
        fun parse(text: String): IniDocument {
            val lines = scan(text)
            val ini = try {
                Ini().apply { config = iniConfig() }.also { it.load(StringReader(text)) }
            } catch (e: IOException) {
                return IniDocument(emptyList(), emptyMap(), listOf(malformed(text, e)))
            }
            val entries = ini.flatMap { (section, options) ->
                options.map { (key, value) -> IniEntry(section, key, value.orEmpty(), lines.options[section to key]) }
            }
            return IniDocument(entries, lines.sections, lines.faults)
        }

        private fun iniConfig() = Config().apply {
            isEscape = false
            isEmptyOption = true
            isMultiOption = false
            isMultiSection = false
        }

        private fun malformed(text: String, e: IOException): SettingsFault {
            val line = text.lines().indexOfFirst { it.isNotBlank() && it.trim() in e.message.orEmpty() }
            return SettingsFault("file", null, (line + 1).takeIf { it > 0 }, "is not a valid INI file: ${e.message}")
        }

        private fun scan(text: String): LineNumbers {
            val lines = LineNumbers()
            text.lines().forEachIndexed { i, raw -> lines.add(i + 1, raw.trim()) }
            return lines
        }

        private class LineNumbers {
            val sections = mutableMapOf<String, Int>()
            val options = mutableMapOf<Pair<String, String>, Int>()
            val faults = mutableListOf<SettingsFault>()
            private var section = ""

            fun add(number: Int, line: String) {
                if (line.isEmpty() || line.startsWith("#") || line.startsWith(";")) return
                val name = sectionPattern.matchEntire(line)?.groupValues?.get(1)
                if (name != null) {
                    section = name
                    val first = sections.putIfAbsent(name, number) ?: return
                    faults += SettingsFault(name, null, number, "duplicate section, first on line $first")
                    return
                }
                val key = optionPattern.matchEntire(line)?.groupValues?.get(1)?.trim() ?: line
                val first = options.putIfAbsent(section to key, number) ?: return
                faults += SettingsFault(section, key, number, "duplicate key, first on line $first")
            }
        }
    }
}
