package io.anvilvalve.rules.release

import io.anvilvalve.api.id.KeyHash

/** Withdrawals heard from the log, peers and operators; the set only grows. */
internal class WithdrawnKeys {
    private val hashes = mutableSetOf<KeyHash>()

    operator fun contains(hash: KeyHash): Boolean = hash in hashes

    val all: Set<KeyHash> get() = hashes

    /** Adds [hash]; false when it is in the set already. */
    fun add(hash: KeyHash): Boolean = hashes.add(hash)
}
