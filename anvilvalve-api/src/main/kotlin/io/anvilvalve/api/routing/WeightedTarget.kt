package io.anvilvalve.api.routing

/** A service that receives [weight] / (sum of all weights) of a route's requests. */
data class WeightedTarget(val service: ServiceId, val weight: Int)
