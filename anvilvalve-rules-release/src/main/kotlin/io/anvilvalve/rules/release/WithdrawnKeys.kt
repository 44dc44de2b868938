package io.anvilvalve.rules.release

import io.anvilvalve.api.id.KeyHash

/** Withdrawn keys, known from the log, peers or operators; keys are never removed. */
internal class WithdrawnKeys {
    private val hashes = mutableSetOf<KeyHash>()

    operator fun contains(hash: KeyHash): Boolean = hash in hashes

    val all: Set<KeyHash> get() = hashes

    /** Adds [hash]; returns false if it is already in the set. */
    fun add(hash: KeyHash): Boolean = hashes.add(hash)
}
