package io.anvilvalve.bench.policy

import io.anvilvalve.api.peer.WorkClass
import io.anvilvalve.api.release.Role
import org.ini4j.Config
import org.ini4j.Ini
import org.ini4j.Profile
import java.nio.file.Path
import kotlin.io.path.inputStream

/**
 * Reads a workload file.
 *
 * Sections are named `kind:name` and read in order of their names. Each `variant` section overrides keys of `workload`.
 */
internal class WorkloadFile(path: Path) {
    private val ini = Ini().apply {
        config = Config().apply {
            isMultiOption = false
            isEscape = false
        }
        path.inputStream().use { load(it) }
    }
    private val base = requireNotNull(ini["workload"]) { "section [workload] is missing" }

    /** The base workload, followed by each of its variants. */
    fun variants(): List<Workload> = listOf(read("", emptyMap())) + sections("variant").map { (name, section) ->
        read(name, section.toMap())
    }

    private fun read(variant: String, changes: Map<String, String>): Workload {
        val keys = base.toMap() + changes
        fun text(key: String) = requireNotNull(keys[key]) { "[workload] $key is missing" }
        fun micros(key: String) = (text(key).toDouble() * MICROS_PER_MILLI).toLong()
        val surging = keys["surging_organisation"]
        val factor = keys["surge_factor"]?.toDouble() ?: 1.0
        val faulty = keys["faults"]?.split(',')?.map { it.trim() }.orEmpty()
        return Workload(
            name = if (variant.isEmpty()) text("name") else "${text("name")}/$variant",
            loads = text("loads").split(',').map { it.trim().toDouble() },
            durationMicros = (text("duration_s").toDouble() * MICROS_PER_SECOND).toLong(),
            warmupMicros = (text("warmup_s").toDouble() * MICROS_PER_SECOND).toLong(),
            cooldownMicros = (text("cooldown_s").toDouble() * MICROS_PER_SECOND).toLong(),
            kvBytesPerToken = text("kv_bytes_per_token").toLong(),
            kvLifetimeMicros = micros("kv_lifetime_ms"),
            localLatencyMicros = micros("local_ms"),
            crossCentreLatencyMicros = micros("cross_centre_ms"),
            reportIntervalMicros = micros("report_interval_ms"),
            reportLagMicros = micros("report_lag_ms"),
            cacheLagMicros = micros("cache_lag_ms"),
            cacheGapRatio = text("cache_gap_ratio").toDouble(),
            prefillNoise = text("prefill_noise").toDouble(),
            speedSpread = keys["speed_spread"]?.toDouble() ?: 1.0,
            hosts = sections("host").map { (name, it) -> HostSpec(name, it.text("data_centre"), it.number("weight")) },
            organisations = sections("organisation").map { (name, it) ->
                OrganisationSpec(name, it.number("share"), mix(it.text("mix")), if (name == surging) factor else 1.0)
            },
            requests = sections("request").associate { (name, it) -> name to request(name, it) },
            workers = sections("workers").flatMap { (name, it) -> workers(name, it) },
            faults = sections("fault").filter { (name, _) -> name in faulty }.map { (_, it) -> fault(it) },
        )
    }

    private fun sections(kind: String): List<Pair<String, Profile.Section>> = ini.filterKeys { it.startsWith("$kind:") }
        .map { (name, section) -> name.substringAfter(':') to section }
        .sortedBy { (name, _) -> name }

    private fun mix(text: String): Map<String, Double> =
        text.split(',').associate { part -> part.substringBefore(':').trim() to part.substringAfter(':').toDouble() }

    private fun request(name: String, section: Profile.Section) = RequestSpec(
        name = name,
        model = section.text("model"),
        workClass = WorkClass.valueOf(section.text("class").uppercase()),
        prompt = section.distribution("prompt"),
        output = section.distribution("output"),
        maxTokens = section.number("max_tokens").toInt(),
        sharedTokens = section.number("shared_tokens").toInt(),
        prefixes = section.number("prefixes").toInt(),
        deadlineMicros = (section.number("deadline_ms") * MICROS_PER_MILLI).toLong(),
    )

    private fun workers(group: String, section: Profile.Section): List<WorkerSpec> {
        val dataCentres = section.list("data_centres")
        val speeds = section.list("speeds").map { it.toDouble() }
        return dataCentres.mapIndexed { index, dataCentre ->
            WorkerSpec(
                name = "$group-${index + 1}",
                model = section.text("model"),
                role = Role.valueOf(section.text("role").uppercase()),
                dataCentre = dataCentre,
                speed = speeds[index % speeds.size],
                slots = section.number("slots").toInt(),
                kvPieces = section.number("kv_pieces").toInt(),
                cachePieces = section.number("cache_pieces").toInt(),
                prefillTokensPerSecond = section.number("prefill_tokens_per_s"),
                prefillOverheadMicros = section.number("prefill_overhead_ms") * MICROS_PER_MILLI,
                stepMicros = section.number("step_ms") * MICROS_PER_MILLI,
                stepPerRequestMicros = section.number("step_per_request_ms") * MICROS_PER_MILLI,
                linkBytesPerSecond = section.number("link_bytes_per_s").toLong(),
            )
        }
    }

    private fun fault(section: Profile.Section) = FaultSpec(
        worker = section.text("worker"),
        fromMicros = (section.number("from_s") * MICROS_PER_SECOND).toLong(),
        toMicros = (section.number("to_s") * MICROS_PER_SECOND).toLong(),
        speed = section.number("speed"),
    )

    private fun Profile.Section.text(key: String): String = requireNotNull(this[key]) { "[$name] $key is missing" }

    private fun Profile.Section.number(key: String): Double = text(key).toDouble()

    private fun Profile.Section.list(key: String): List<String> = text(key).split(',').map { it.trim() }

    private fun Profile.Section.distribution(key: String) =
        LengthSpec(number("${key}_median"), number("${key}_sigma"), number("${key}_limit").toInt())
}
