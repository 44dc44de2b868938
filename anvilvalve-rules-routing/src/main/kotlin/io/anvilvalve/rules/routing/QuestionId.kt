package io.anvilvalve.rules.routing

import io.anvilvalve.api.id.Incarnation

/** Identifies a question of the host [incarnation] to a coordinator by its [number] there. */
internal data class QuestionId(val incarnation: Incarnation, val number: Long)
