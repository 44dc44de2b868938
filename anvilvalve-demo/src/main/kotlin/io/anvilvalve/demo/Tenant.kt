package io.anvilvalve.demo

import io.anvilvalve.api.id.KeyHash
import io.anvilvalve.api.release.Key
import io.anvilvalve.api.release.Organisation

/** An organisation of the demo with the key that its callers present. */
internal class Tenant(val organisation: Organisation, val key: String) {
    val releaseKey: Key get() = Key(KeyHash.of(key), organisation.id)
}
