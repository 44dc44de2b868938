package io.anvilvalve.rules.release

import io.anvilvalve.api.id.BackendServerId
import io.anvilvalve.api.id.DataCentreId
import io.anvilvalve.api.id.KeyHash
import io.anvilvalve.api.id.ModelId
import io.anvilvalve.api.id.NoteId
import io.anvilvalve.api.id.OrganisationId
import io.anvilvalve.api.id.ReleaseNumber
import io.anvilvalve.api.id.RouteId
import io.anvilvalve.api.log.LogRecord
import io.anvilvalve.api.release.BackendServer
import io.anvilvalve.api.release.Change
import io.anvilvalve.api.release.Key
import io.anvilvalve.api.release.Model
import io.anvilvalve.api.release.Organisation
import io.anvilvalve.api.release.Release
import io.anvilvalve.api.release.ReleaseNote
import io.anvilvalve.api.release.Role
import io.anvilvalve.api.release.Route
import io.kotest.assertions.withClue
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.ints.shouldBeGreaterThan
import io.kotest.matchers.shouldBe
import io.kotest.matchers.shouldNotBe
import kotlin.random.Random

/** Reference implementation that replays all records from the first one and checks the whole release per note. */
private class NaiveReplay(private val records: List<LogRecord>) {
    private val seen = mutableSetOf<NoteId>()
    private val withdrawn = mutableSetOf<KeyHash>()

    fun release(): Release = records.fold(Release()) { release, record ->
        when (record) {
            is LogRecord.KeyWithdrawn -> {
                withdrawn += record.hash
                release.copy(keys = release.keys - record.hash)
            }

            is LogRecord.Note -> if (seen.add(record.note.id)) decide(release, record.note) else release

            else -> release
        }
    }

    private fun decide(before: Release, note: ReleaseNote): Release {
        val hasUnknownWithdrawal = note.changes.any { it is Change.WithdrawModel && it.id !in before.models } ||
            note.changes.any { it is Change.WithdrawBackendServer && it.id !in before.servers } ||
            note.changes.any { it is Change.WithdrawKey && it.hash !in before.keys && it.hash !in withdrawn }
        val hasDuplicates = note.changes.map(::entryOf).toSet().size != note.changes.size
        if (note.expectedPrevious != before.number || hasUnknownWithdrawal || hasDuplicates) return before
        val after = note.changes.fold(before, ::change)
        if (!isConsistent(after)) return before
        withdrawn += note.changes.filterIsInstance<Change.WithdrawKey>().map { it.hash }
        return after.copy(number = before.number.next(), keys = after.keys.filterKeys { it !in withdrawn })
    }

    private fun entryOf(change: Change): String = when (change) {
        is Change.PutModel -> "m" + change.model.id
        is Change.WithdrawModel -> "m" + change.id
        is Change.PutBackendServer -> "s" + change.server.id
        is Change.WithdrawBackendServer -> "s" + change.id
        is Change.PutOrganisation -> "o" + change.organisation.id
        is Change.PutKey -> "k" + change.key.hash.hex
        is Change.WithdrawKey -> "k" + change.hash.hex
        else -> "route"
    }

    private fun change(release: Release, change: Change): Release = with(release) {
        when (change) {
            is Change.PutModel -> copy(models = models + (change.model.id to change.model))

            is Change.WithdrawModel -> copy(models = models - change.id)

            is Change.PutBackendServer -> copy(servers = servers + (change.server.id to change.server))

            is Change.WithdrawBackendServer -> copy(servers = servers - change.id)

            is Change.PutOrganisation -> copy(
                organisations =
                organisations + (change.organisation.id to change.organisation),
            )

            is Change.PutKey -> copy(keys = keys + (change.key.hash to change.key))

            is Change.WithdrawKey -> copy(keys = keys - change.hash)

            is Change.PutRoute -> copy(routes = routes + (change.route.id to change.route))

            else -> this
        }
    }

    private fun isConsistent(release: Release): Boolean = with(release) {
        servers.values.all { server -> server.slots > 0 && server.models.all { it in models } } &&
            servers.values.map { it.address }.toSet().size == servers.size &&
            keys.values.all { it.organisation in organisations } &&
            routes.values.all { route -> route.backendServers.all { servers[it]?.role == Role.SERVICE } }
    }
}

/**
 * Guards against an incremental release state that differs from a replay of all records, for random record sequences.
 */
class ReleaseDifferentialSpec :
    FunSpec({
        val hashes = (0..2).map { KeyHash.of("key-$it") }

        fun server(random: Random): BackendServer {
            val id = random.nextInt(4)
            val isService = random.nextInt(3) == 0
            val address = "127.0.0.1:${9_000 + if (random.nextInt(8) == 0) random.nextInt(4) else id}"
            return BackendServer(
                BackendServerId("s$id"),
                address,
                DataCentreId("d"),
                if (isService) Role.SERVICE else Role.DECODE,
                models = if (isService) emptyList() else listOf(ModelId("m${random.nextInt(3)}")),
                slots = random.nextInt(9).coerceAtMost(5),
            )
        }

        fun change(random: Random): Change = when (random.nextInt(8)) {
            0 -> Change.PutModel(Model(ModelId("m${random.nextInt(3)}"), version = "${random.nextInt(5)}"))
            1 -> Change.WithdrawModel(ModelId("m${random.nextInt(3)}"))
            2 -> Change.PutBackendServer(server(random))
            3 -> Change.WithdrawBackendServer(BackendServerId("s${random.nextInt(4)}"))
            4 -> Change.PutOrganisation(Organisation(OrganisationId("o${random.nextInt(2)}"), 1, 5_000))
            5 -> Change.PutKey(Key(hashes.random(random), OrganisationId("o${random.nextInt(2)}")))
            6 -> Change.WithdrawKey(hashes.random(random))
            else -> Change.PutRoute(Route(RouteId("r0"), listOf(BackendServerId("s${random.nextInt(4)}"))))
        }

        fun record(random: Random, number: Int, state: Release, earlier: List<LogRecord>): LogRecord {
            if (random.nextInt(12) == 0) return LogRecord.KeyWithdrawn(hashes.random(random))
            if (random.nextInt(8) == 0 && earlier.isNotEmpty()) return earlier.random(random)
            val previous = if (random.nextInt(8) == 0) ReleaseNumber(random.nextLong(20)) else state.number
            val changes = List(1 + random.nextInt(3)) { change(random) }
            return LogRecord.Note(ReleaseNote(NoteId("n$number"), previous, "op", changes))
        }

        fun compare(seed: Int, corrupt: (ReleaseState) -> Unit = {}): Pair<Release, Release> {
            val random = Random(seed)
            val state = ReleaseState()
            val records = mutableListOf<LogRecord>()
            repeat(120) {
                val record = record(random, it, state.release, records)
                records += record
                when (record) {
                    is LogRecord.Note -> state.apply(record.note)
                    is LogRecord.KeyWithdrawn -> state.withdraw(record.hash)
                    else -> Unit
                }
            }
            corrupt(state)
            return state.release to NaiveReplay(records).release()
        }

        test("the state equals that of a naive replay of all records") {
            var accepted = 0L
            repeat(300) { seed ->
                val (state, replay) = compare(seed)
                accepted += state.number.value
                withClue("seed $seed") { state shouldBe replay }
            }
            (accepted / 300).toInt() shouldBeGreaterThan 20
        }

        test("the comparison detects a release that was reset to an earlier one") {
            val before = ReleaseSnapshot(release = Release(ReleaseNumber(1)))
            val (state, replay) = compare(seed = 1) { it.restore(before) }
            state shouldNotBe replay
        }

        test("a snapshot that covers no more than is already applied is ignored") {
            val fleet = VirtualFleet(size = 1, FaultPlan.none)
            fleet.publish(0, stale = false)
            fleet.poll(0)
            val rules = ReleaseRules(io.anvilvalve.api.id.Incarnation("x"))
            val note = fleet.records.single()
            rules.reduce(ReleaseEvent.RecordApplied(io.anvilvalve.api.id.LogOffset(5), note), kotlin.time.Duration.ZERO)
            val old = ReleaseEvent.Restored(io.anvilvalve.api.id.LogOffset(5), ReleaseSnapshot())
            rules.reduce(old, kotlin.time.Duration.ZERO)
            rules.release.number shouldBe ReleaseNumber(1)
        }
    })
