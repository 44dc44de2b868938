package io.anvilvalve.report

/** Identity of a service: the use of one model by one organisation. */
internal data class ServiceKey(val organisation: String, val model: String) {
    override fun toString(): String = "$organisation / $model"
}
