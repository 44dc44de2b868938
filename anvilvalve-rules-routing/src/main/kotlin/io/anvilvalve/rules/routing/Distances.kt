package io.anvilvalve.rules.routing

import io.anvilvalve.api.id.DataCentreId

/**
 * Prices of the way between data centres, in milliseconds by which a call must finish earlier to be worth it.
 *
 * All traffic between two regions shares one link of some 42 Mbit/s, so that its prices are above the delay alone.
 */
internal class Distances(private val regions: RegionDirectory) {
    /** How far apart two data centres are. */
    enum class Level { SAME, NEAR, FAR }

    /** [Level.NEAR] between data centres of a region, or if the region of one of them is not known. */
    fun level(from: DataCentreId, to: DataCentreId): Level {
        if (from == to) return Level.SAME
        val first = regions.region(from) ?: return Level.NEAR
        val second = regions.region(to) ?: return Level.NEAR
        return if (first == second) Level.NEAR else Level.FAR
    }

    /** Price of a call to a plain service. */
    fun callMillis(from: DataCentreId, to: DataCentreId): Double = when (level(from, to)) {
        Level.SAME -> 0.0
        Level.NEAR -> ROUND_TRIP_MILLIS
        Level.FAR -> REGION_ROUND_TRIP_MILLIS + REGION_CALL_MILLIS
    }

    /** Price of a stream whose decode engine is in [to]. */
    fun streamMillis(from: DataCentreId, to: DataCentreId): Double = when (level(from, to)) {
        Level.SAME -> 0.0
        Level.NEAR -> ROUND_TRIP_MILLIS
        Level.FAR -> REGION_ROUND_TRIP_MILLIS + REGION_STREAM_MILLIS
    }

    /** Price of a transfer of prompt memory, which takes twice as long between data centres and ten times between regions. */
    fun transferMillis(from: DataCentreId, to: DataCentreId): Double = when (level(from, to)) {
        Level.SAME -> 0.0
        Level.NEAR -> TRANSFER_MILLIS
        Level.FAR -> TRANSFER_MILLIS * REGION_TRANSFER_FACTOR
    }

    companion object {
        const val REGION_ROUND_TRIP_MILLIS: Double = 40.0

        /** Round trip between two data centres of a region: 1 to 3 ms. */
        private const val ROUND_TRIP_MILLIS = 2.5

        /** A call moves a few kilobytes, less than 1 ms of the link between regions. */
        private const val REGION_CALL_MILLIS = 5.0

        /** A stream moves some 34 kB, 6.5 ms of the link; the price keeps the link's use at a few streams a second. */
        private const val REGION_STREAM_MILLIS = 210.0

        /**
         * Extra wait that is accepted for a prefill engine in the data centre of the decode engine, to avoid a transfer
         * between data centres.
         */
        private const val TRANSFER_MILLIS = 250.0

        /** Ten times the local transfer is nine times it more; twice is once more. */
        private const val REGION_TRANSFER_FACTOR = 9.0
    }
}
