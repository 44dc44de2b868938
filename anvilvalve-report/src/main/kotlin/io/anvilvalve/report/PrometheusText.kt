package io.anvilvalve.report

/** Parses the Prometheus text format; ignores comments, blank lines, timestamps and malformed lines. */
internal object PrometheusText {
    fun parse(text: String): List<MetricLine> = text.lineSequence().mapNotNull { parseLine(it.trim()) }.toList()

    private fun parseLine(line: String): MetricLine? {
        if (line.isEmpty() || line.startsWith('#')) return null
        val nameEnd = line.indexOfFirst { it == '{' || it.isWhitespace() }
        if (nameEnd <= 0) return null
        val scanner = LabelScanner(line, nameEnd)
        val labels = (if (line[nameEnd] == '{') scanner.labels() else emptyMap()) ?: return null
        val value = line.substring(scanner.position).trim().substringBefore(' ')
        return parseValue(value)?.let { MetricLine(line.substring(0, nameEnd), labels, it) }
    }

    private fun parseValue(text: String): Double? = when (text) {
        "+Inf" -> Double.POSITIVE_INFINITY
        "-Inf" -> Double.NEGATIVE_INFINITY
        else -> text.toDoubleOrNull()
    }

    /** Reads the labels of [line], whose opening brace is at [position]. */
    private class LabelScanner(private val line: String, var position: Int) {
        /** Returns the labels and advances past the closing brace; returns null if the line is malformed. */
        fun labels(): Map<String, String>? {
            val labels = mutableMapOf<String, String>()
            position++
            while (true) {
                skip { it == ',' || it.isWhitespace() }
                if (position >= line.length) return null
                if (line[position] == '}') break
                val name = take { it != '=' }.trim()
                position++
                labels[name] = quotedValue() ?: return null
            }
            position++
            return labels
        }

        private fun quotedValue(): String? {
            skip { it.isWhitespace() }
            if (position >= line.length || line[position] != '"') return null
            position++
            val text = StringBuilder()
            while (position < line.length && line[position] != '"') text.append(unescapedCharacter())
            return if (position++ < line.length) text.toString() else null
        }

        private fun unescapedCharacter(): Char {
            val char = line[position++]
            if (char != '\\' || position >= line.length) return char
            val escaped = line[position++]
            return if (escaped == 'n') '\n' else escaped
        }

        private fun skip(matches: (Char) -> Boolean) {
            take(matches)
        }

        private fun take(matches: (Char) -> Boolean): String {
            if (position >= line.length) return ""
            val start = position
            while (position < line.length && matches(line[position])) position++
            return line.substring(start, position)
        }
    }
}
