package io.anvilvalve.settings

/**
 * One fault of a settings file.
 *
 * @property key null when the fault concerns the whole section.
 * @property line line number from 1, or null when the setting is missing.
 */
data class SettingsFault(val section: String, val key: String?, val line: Int?, val message: String) {
    override fun toString(): String {
        val place = if (line == null) "" else "line $line: "
        val name = if (key == null) "" else " $key"
        return "$place[$section]$name: $message"
    }
}
