package io.anvilvalve.report

/**
 * Returns the growth of all counters between consecutive samples of each host.
 *
 * A counter below its last value, or gone, means that the host restarted: all its counters started at zero again, so
 * that their whole values are growth. The first sample of a host only sets the values to compare with, because the
 * time of its growth is unknown. A counter that appears in a later sample was zero before.
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
