package io.anvilvalve.report

/**
 * Returns the growth of all counters between consecutive samples of each host.
 *
 * A counter that is missing or below its last value shows that the host restarted. All counters of the host then
 * started at zero again, so their whole values count as growth. The first sample of a host is only the baseline,
 * because the time of the growth before it is unknown. A counter that first appears in a later sample was zero before.
 */
internal fun increases(samples: List<Sample>): List<Increase> {
    val lastByHost = HashMap<String, Map<CounterKey, Double>>()
    return samples.filter { it.counters != null }.sortedBy { it.atMillis }.flatMap { sample ->
        val values = sample.counters.orEmpty().associate { it.key to it.value }
        val last = lastByHost.put(sample.host, values)
        if (last == null) emptyList() else growth(sample.atMillis, last, values)
    }
}

private fun growth(atMillis: Long, last: Map<CounterKey, Double>, values: Map<CounterKey, Double>): List<Increase> {
    val restarted = last.any { (key, before) -> (values[key] ?: 0.0) < before }
    return values.mapNotNull { (key, value) ->
        val before = if (restarted) 0.0 else last[key] ?: 0.0
        Increase(atMillis, key, value - before).takeIf { value > before }
    }
}
