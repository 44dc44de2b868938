package io.anvilvalve.api.id

import kotlinx.serialization.Serializable

/** Identity of a release note, assigned by the operator's client. */
@JvmInline
@Serializable
value class NoteId(val value: String) {
    override fun toString(): String = value
}
