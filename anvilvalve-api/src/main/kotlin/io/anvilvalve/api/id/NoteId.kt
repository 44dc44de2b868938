package io.anvilvalve.api.id

import kotlinx.serialization.Serializable

/** Identity that an operator's client gives to a release note. */
@JvmInline
@Serializable
value class NoteId(val value: String) {
    override fun toString(): String = value
}
