package io.anvilvalve.bench.slopes

/** Size of the fleet in which a host is measured. */
internal data class FleetSize(
    val hosts: Int = 7,
    val organisations: Int = 10,
    val servers: Int = 14,
    val models: Int = 1,
)
