package io.anvilvalve.settings

/**
 * A fault in a settings file.
 *
 * @property key key of the setting, or null when the fault concerns a whole section or the file.
 * @property line line number, starting at 1, or null when the fault has no line, as for a missing setting.
 */
data class SettingsFault(val section: String, val key: String?, val line: Int?, val message: String) {
    override fun toString(): String {
        val place = if (line == null) "" else "line $line: "
        val name = if (key == null) "" else " $key"
        return "$place[$section]$name: $message"
    }
}
