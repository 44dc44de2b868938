package io.anvilvalve.rules.routing

import io.anvilvalve.api.routing.Backend

/**
 * Digest of a set of backend servers that does not depend on their order; two hosts with the same servers have the same one.
 *
 * It finds differences between hosts that neither of them can see in positions of the store; it is no protection against
 * forged entries.
 */
internal class DirectoryDigest {
    var value = 0L
        private set

    fun add(backend: Backend) {
        value += hash(backend)
    }

    fun remove(backend: Backend) {
        value -= hash(backend)
    }

    /** The time for which a server remains cold is left out, because it changes with every heartbeat. */
    private fun hash(backend: Backend): Long = with(backend) {
        val place = listOf(id.value, service.value, address, dataCentre.value)
        (place + listOf(slots, leaving, stage?.name, startedAtMillis, version))
            .fold(0L) { hash, field -> (hash xor field.toString().hashCode().toLong()) * MULTIPLIER }
    }

    private companion object {
        /** Odd, so that the multiplication loses nothing; its bits carry small differences into the high half. */
        const val MULTIPLIER = -0x61c8864680b583ebL
    }
}
