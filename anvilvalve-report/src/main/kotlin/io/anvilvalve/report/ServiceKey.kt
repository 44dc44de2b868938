package io.anvilvalve.report

/** An organisation's use of a model. */
internal data class ServiceKey(val organisation: String, val model: String) {
    override fun toString(): String = "$organisation / $model"
}
