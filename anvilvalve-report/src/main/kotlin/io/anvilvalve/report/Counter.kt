package io.anvilvalve.report

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** Value of one counter of one host; a label that the metric does not have is empty. */
@Serializable
internal data class Counter(
    @SerialName("m") val measure: Measure,
    @SerialName("o") val organisation: String = "",
    @SerialName("d") val model: String = "",
    @SerialName("v") val value: Double,
) {
    /** Identity of the counter within its host. */
    val key: CounterKey get() = CounterKey(measure, organisation, model)
}
