package io.anvilvalve.api

/** Which backend servers of a model one owner schedules. */
enum class PoolScope {
    /** All of them; for a fleet whose data centres are a few milliseconds apart. */
    FLEET,

    /** Those of one data centre; other data centres take what the nearest one cannot. */
    DATA_CENTRE,
}
