package io.anvilvalve.core

import io.anvilvalve.api.id.KeyHash
import io.anvilvalve.api.id.OrganisationId
import io.anvilvalve.api.release.Release

/** Maps keys to organisations; a withdrawn key stays withdrawn even if a later release contains it. */
internal class Keys(private var release: Release = Release(), withdrawn: Set<KeyHash> = emptySet()) {
    private val withdrawn = HashSet(withdrawn)

    fun releaseChanged(next: Release) {
        release = next
    }

    fun withdraw(hash: KeyHash) {
        withdrawn += hash
    }

    /** Returns a copy that later changes do not affect. */
    fun copy() = Keys(release, withdrawn)

    /** Looks up the SHA-256 hash, which reveals nothing about the key, and compares it in constant time. */
    fun organisationOf(hash: KeyHash): OrganisationId? =
        release.keys[hash]?.takeIf { it.hash.matches(hash) && hash !in withdrawn }?.organisation
}
