package io.anvilvalve.api.release

import kotlinx.serialization.Serializable

/** Work that a backend server does. */
@Serializable
enum class Role {
    PREFILL,
    DECODE,
    SERVICE,
}
