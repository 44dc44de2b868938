package io.anvilvalve.api.id

import kotlinx.serialization.Serializable

/** Id of a part that prompts have in common, as callers state it. */
@JvmInline
@Serializable
value class PromptPartId(val value: String) {
    override fun toString(): String = value
}
