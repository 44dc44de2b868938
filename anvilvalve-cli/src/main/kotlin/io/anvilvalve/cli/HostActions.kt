package io.anvilvalve.cli

import arrow.core.Either
import io.anvilvalve.api.id.KeyHash
import io.anvilvalve.api.id.ReleaseNumber
import io.anvilvalve.api.log.LogCodec
import io.anvilvalve.api.log.LogRecord
import io.anvilvalve.api.port.LogService
import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.withTimeoutOrNull
import kotlinx.serialization.json.JsonArray
import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive
import kotlinx.serialization.json.encodeToJsonElement
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** Commands that call the hosts. */
internal class HostActions(
    private val log: LogService,
    private val directory: HostDirectory,
    private val operators: OperatorApi,
) {
    /** Reports the release according to the log and the status of every host. */
    suspend fun status(): Outcome {
        val view = LogReader(log).read()
        val responses = callAll { operators.status(it) }.fold({ return hostsUnknown(it) }, { it })
        val logLine = view.fold({ it }, { "log: release ${it.release.number}, offset ${it.applied}" })
        val lines = responses.map { (address, response) -> response.fold({ "$address: $it" }, { line(address, it) }) }
        val exit = when {
            responses.any { it.second.isLeft() } -> ExitCode.HOSTS_MISSING
            view.isLeft() -> ExitCode.LOG_UNAVAILABLE
            else -> ExitCode.OK
        }
        val release = view.getOrNull()?.let { mapOf("release" to JsonPrimitive(it.release.number.value)) }.orEmpty()
        return Outcome(exit, code = null, listOf(logLine) + lines, release + ("hosts" to hostsJson(responses)))
    }

    /** Polls the hosts until [release] or a later one is in force on all of them, for at most [timeout]. */
    suspend fun wait(release: ReleaseNumber, timeout: Duration): Outcome {
        var missing = listOf("no host has answered yet")
        val reached = withTimeoutOrNull(timeout) {
            while (missing.isNotEmpty()) {
                missing = hostsWithout(release)
                if (missing.isNotEmpty()) delay(POLL_INTERVAL)
            }
        }
        return if (reached != null) {
            Outcome.ok(listOf("release $release is in force on all hosts"))
        } else {
            Outcome(
                ExitCode.HOSTS_MISSING,
                code = null,
                listOf("release $release is not in force on all hosts") + missing,
            )
        }
    }

    /**
     * Withdraws a key by a log record, or by calls to the hosts if the log is unavailable.
     *
     * The record is idempotent, so the append is repeated when its response is lost.
     */
    suspend fun withdrawKey(hash: KeyHash): Outcome {
        val record = listOf(LogCodec.encode(LogRecord.KeyWithdrawn(hash)))
        repeat(MAX_APPEND_ATTEMPTS) { attempt ->
            log.append(record).onRight {
                return Outcome.ok(
                    listOf("key $hash is withdrawn from offset $it"),
                    mapOf("offset" to JsonPrimitive(it.value)),
                )
            }
            delay(POLL_INTERVAL * (attempt + 1))
        }
        return withdrawAtHosts(hash)
    }

    /** Starts the planned stop of the host at [address], which ends within [deadline]. */
    suspend fun drain(address: String, deadline: Duration): Outcome = operators.drain(address, deadline).fold(
        { Outcome(ExitCode.HOSTS_MISSING, code = null, listOf("$address: $it")) },
        { Outcome.ok(listOf("$address is draining; the host stops within $deadline")) },
    )

    private suspend fun withdrawAtHosts(hash: KeyHash): Outcome {
        val responses = callAll { operators.withdrawKey(it, hash) }.fold({ return hostsUnknown(it) }, { it })
        val acknowledged = responses.count { it.second.isRight() }
        val members = maxOf(responses.size, largestMembership())
        val lines = listOf("the log is unavailable; $acknowledged of $members hosts have withdrawn key $hash") +
            responses.mapNotNull { (address, response) -> response.leftOrNull()?.let { "$address: $it" } }
        val fields = mapOf("acknowledged" to JsonPrimitive(acknowledged), "members" to JsonPrimitive(members))
        val exit = if (acknowledged * 2 > members) ExitCode.OK else ExitCode.HOSTS_MISSING
        return Outcome(exit, code = null, lines, fields)
    }

    /** Returns the largest member count that a host reports; the live list may lack hosts that admit requests. */
    private suspend fun largestMembership(): Int = callAll { operators.status(it) }.getOrNull().orEmpty()
        .mapNotNull { it.second.getOrNull()?.members?.size }
        .maxOrNull() ?: 0

    private suspend fun hostsWithout(release: ReleaseNumber): List<String> = callAll { operators.status(it) }.fold(
        { listOf(it) },
        { responses ->
            responses.mapNotNull { (address, response) ->
                response.fold(
                    { "$address: $it" },
                    { status -> "$address: release ${status.release}".takeIf { status.release < release.value } },
                )
            }
        },
    )

    private suspend fun <T> callAll(call: suspend (String) -> Either<String, T>): Either<String, List<Response<T>>> =
        directory.addresses().map { addresses ->
            coroutineScope { addresses.map { address -> async { address to call(address) } }.awaitAll() }
        }

    private fun hostsUnknown(reason: String): Outcome = Outcome(ExitCode.HOSTS_MISSING, code = null, listOf(reason))

    private fun line(address: String, status: HostStatus): String {
        val state = listOfNotNull(
            "current".takeIf { status.current } ?: "not current",
            "ready".takeIf { status.ready },
            "draining".takeIf { status.draining },
        )
        return "$address: ${status.host} (${status.incarnation}) release ${status.release}, " +
            "offset ${status.appliedOffset}, ${state.joinToString()}, ${status.running} running"
    }

    private fun hostsJson(responses: List<Response<HostStatus>>): JsonElement = JsonArray(
        responses.map { (address, response) ->
            val fields = response.fold(
                { mapOf("error" to JsonPrimitive(it)) },
                { mapOf("status" to CliJson.format.encodeToJsonElement(it)) },
            )
            JsonObject(mapOf<String, JsonElement>("address" to JsonPrimitive(address)) + fields)
        },
    )

    private companion object {
        val POLL_INTERVAL = 500.milliseconds
        const val MAX_APPEND_ATTEMPTS = 3
    }
}

private typealias Response<T> = Pair<String, Either<String, T>>
