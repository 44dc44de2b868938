package io.anvilvalve.host

/**
 * Whether arrays and objects in the JSON [text] are nested at most [limit] levels deep.
 *
 * The JSON parser is recursive, so a deeply nested body would overflow the stack.
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
