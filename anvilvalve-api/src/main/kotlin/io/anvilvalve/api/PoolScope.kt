package io.anvilvalve.api

/** Set of a model's backend servers that one pool owner schedules. */
enum class PoolScope {
    /** All backend servers of the model; for a fleet whose data centres are a few milliseconds apart. */
    FLEET,

    /** The backend servers of one data centre; requests that the nearest data centre cannot take go to another one. */
    DATA_CENTRE,
}
