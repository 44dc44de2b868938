package io.anvilvalve.core

import io.anvilvalve.api.id.KeyHash
import io.anvilvalve.api.id.OrganisationId
import io.anvilvalve.api.release.Release

/** Which organisation a key speaks for; a revoked key stays revoked whatever a release says. */
internal class Keys {
    private var release = Release()
    private val revoked = HashSet<KeyHash>()

    fun releaseChanged(next: Release) {
        release = next
    }

    fun revoke(hash: KeyHash) {
        revoked += hash
    }

    /** Looks the hash up by its SHA-256, which says nothing about the key, and compares it in constant time. */
    fun organisationOf(hash: KeyHash): OrganisationId? =
        release.keys[hash]?.takeIf { it.hash.matches(hash) && hash !in revoked }?.organisation
}
