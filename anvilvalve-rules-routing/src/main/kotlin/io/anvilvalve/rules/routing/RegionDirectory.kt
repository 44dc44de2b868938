package io.anvilvalve.rules.routing

import io.anvilvalve.api.id.DataCentreId
import io.anvilvalve.api.id.RegionId

/** Tells in which region a data centre is. */
internal fun interface RegionDirectory {
    /** The region of [dataCentre]; null if it is not known. */
    fun region(dataCentre: DataCentreId): RegionId?
}
