package io.anvilvalve.host

/**
 * Whether no more than [limit] arrays and objects of the JSON [text] are open at once.
 *
 * The JSON reader calls itself for each level; a body of brackets alone would overflow the stack.
 */
internal fun isNestedWithin(text: String, limit: Int): Boolean {
    var depth = 0
    var inString = false
    var i = 0
    while (i < text.length) {
        when (text[i]) {
            '"' -> inString = !inString
            '\\' -> i++
            '[', '{' -> if (!inString && ++depth > limit) return false
            ']', '}' -> if (!inString) depth--
        }
        i++
    }
    return true
}
