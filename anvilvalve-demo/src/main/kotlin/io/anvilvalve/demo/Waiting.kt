package io.anvilvalve.demo

import kotlinx.coroutines.delay
import kotlinx.coroutines.withTimeoutOrNull
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

private val CHECK_INTERVAL = 20.milliseconds

/** Waits until [condition] holds; throws [IllegalStateException] naming [what] after [limit]. */
internal suspend fun awaitUntil(what: String, limit: Duration, condition: () -> Boolean) {
    check(holdsWithin(limit, condition)) { "timed out after $limit: $what" }
}

/** Waits until [condition] holds; returns false if it does not hold within [limit]. */
internal suspend fun holdsWithin(limit: Duration, condition: () -> Boolean): Boolean = withTimeoutOrNull(limit) {
    while (!condition()) delay(CHECK_INTERVAL)
    true
} ?: false
