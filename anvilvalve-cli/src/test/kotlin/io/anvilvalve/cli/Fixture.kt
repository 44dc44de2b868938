package io.anvilvalve.cli

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import io.anvilvalve.api.id.KeyHash
import io.anvilvalve.api.id.ModelId
import io.anvilvalve.api.id.NoteId
import io.anvilvalve.api.id.ReleaseNumber
import io.anvilvalve.api.log.LogCodec
import io.anvilvalve.api.log.LogRecord
import io.anvilvalve.api.port.LogService
import io.anvilvalve.api.release.Change
import io.anvilvalve.api.release.Model
import io.anvilvalve.api.release.ReleaseNote
import kotlin.time.Duration

internal fun note(id: String, previous: Long, model: String = id) =
    ReleaseNote(NoteId(id), ReleaseNumber(previous), "op", listOf(Change.PutModel(Model(ModelId(model)))))

internal suspend fun LogService.append(note: ReleaseNote) = append(listOf(LogCodec.encode(LogRecord.Note(note))))

/** Operator API of fake hosts by address; calls to hosts that are not [up] fail. */
internal class FakeOperators(private val statuses: MutableMap<String, HostStatus>, var up: Set<String>) : OperatorApi {
    val withdrawn = mutableListOf<KeyHash>()

    override suspend fun status(address: String): Either<String, HostStatus> = answer(address) {
        statuses.getValue(address)
    }

    override suspend fun withdrawKey(address: String, hash: KeyHash): Either<String, Unit> = answer(address) {
        withdrawn += hash
    }

    override suspend fun drain(address: String, deadline: Duration): Either<String, Unit> = answer(address) {}

    fun setRelease(release: Long) = statuses.replaceAll { _, status -> status.copy(release = release) }

    private fun <T> answer(address: String, value: () -> T): Either<String, T> =
        if (address in up) value().right() else "connection refused".left()

    companion object {
        fun of(size: Int, up: Int = size): FakeOperators {
            val names = (1..size).map { "10.0.0.$it:8081" }
            val statuses = names.associateWith { HostStatus(it, "$it#1", 1, 5, current = true, members = names) }
            return FakeOperators(statuses.toMutableMap(), names.take(up).toSet())
        }
    }
}
