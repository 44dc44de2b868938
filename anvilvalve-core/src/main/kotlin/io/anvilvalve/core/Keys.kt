package io.anvilvalve.core

import io.anvilvalve.api.id.KeyHash
import io.anvilvalve.api.id.OrganisationId
import io.anvilvalve.api.release.Release

/** Maps keys to organisations; a revoked key stays revoked even if a later release contains it. */
internal class Keys {
    private var release = Release()
    private val revoked = HashSet<KeyHash>()

    fun releaseChanged(next: Release) {
        release = next
    }

    fun revoke(hash: KeyHash) {
        revoked += hash
    }

    /** Looks up the SHA-256 hash, which reveals nothing about the key, and compares it in constant time. */
    fun organisationOf(hash: KeyHash): OrganisationId? =
        release.keys[hash]?.takeIf { it.hash.matches(hash) && hash !in revoked }?.organisation
}
