package io.anvilvalve.settings

/** IP address and TCP port. */
data class Endpoint(val address: String, val port: Int) {
    override fun toString(): String = "$address:$port"
}
