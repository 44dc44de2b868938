package io.anvilvalve.rules.release

import io.anvilvalve.api.id.AdapterId
import io.anvilvalve.api.id.BackendServerId
import io.anvilvalve.api.id.DataCentreId
import io.anvilvalve.api.id.Incarnation
import io.anvilvalve.api.id.KeyHash
import io.anvilvalve.api.id.ModelId
import io.anvilvalve.api.id.NoteId
import io.anvilvalve.api.id.OrganisationId
import io.anvilvalve.api.id.ReleaseNumber
import io.anvilvalve.api.id.RouteId
import io.anvilvalve.api.release.Adapter
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
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.collections.shouldContain
import io.kotest.matchers.shouldBe

/** Guards against accepting notes that refer to unknown entries, contradict themselves or contain invalid values. */
class NoteValidatorSpec :
    FunSpec({
        val model = ModelId("m")
        val organisation = OrganisationId("o")
        val engine = BackendServer(
            BackendServerId("e"),
            "127.0.0.1:9000",
            DataCentreId("d"),
            Role.DECODE,
            models = listOf(model),
            adapters = listOf(AdapterId("a")),
        )
        val service = engine.copy(
            id = BackendServerId("s"),
            address = "[::1]:9001",
            role = Role.SERVICE,
            models = emptyList(),
            adapters = emptyList(),
        )
        val route = Route(RouteId("r"), listOf(service.id), repeatable = false)
        val limits = Organisation(organisation, 10, 10_000)
        val hash = KeyHash.of("k")
        val setUp = listOf(
            Change.PutModel(Model(model)),
            Change.PutAdapter(Adapter(AdapterId("a"), model)),
            Change.PutBackendServer(engine),
            Change.PutBackendServer(service),
            Change.PutRoute(route),
            Change.PutOrganisation(limits),
            Change.PutKey(Key(hash, organisation)),
        )

        fun note(vararg changes: Change, previous: Long = 1) =
            ReleaseNote(NoteId("n"), ReleaseNumber(previous), "op", changes.toList())

        val release = Release().applying(note(*setUp.toTypedArray(), previous = 0))

        test("a note may refer to its own entries in any order") {
            val reversed = note(*setUp.reversed().toTypedArray(), previous = 0)
            NoteValidator.validate(reversed, Release()).shouldBeEmpty()
        }

        listOf(
            Change.PutBackendServer(engine.copy(models = listOf(ModelId("x")), adapters = emptyList())) to
                "model 'x' is unknown",
            Change.PutBackendServer(engine.copy(models = emptyList())) to
                "adapter 'a' needs model 'm', which the server does not have",
            Change.PutBackendServer(engine.copy(id = BackendServerId("f"))) to
                "backend server 'e' has the same address",
            Change.PutBackendServer(engine.copy(address = "localhost:9000")) to
                "'localhost:9000' is not an IP address with a port",
            Change.PutBackendServer(engine.copy(address = "1.2.3.256:1")) to
                "'1.2.3.256:1' is not an IP address with a port",
            Change.PutBackendServer(engine.copy(address = "1.2.3.4:65536")) to
                "'1.2.3.4:65536' is not an IP address with a port",
            Change.PutBackendServer(engine.copy(slots = 0)) to "slots is 0, outside 1 to 10000",
            Change.PutBackendServer(service.copy(role = Role.DECODE)) to
                "route 'r' still uses backend server 's'",
            Change.PutBackendServer(engine.copy(role = Role.SERVICE)) to
                "a plain service must not have models or adapters",
            Change.PutAdapter(Adapter(AdapterId("b"), ModelId("x"))) to "model 'x' is unknown",
            Change.PutKey(Key(hash, OrganisationId("x"))) to "organisation 'x' is unknown",
            Change.PutKey(Key(KeyHash("ABC"), organisation)) to
                "the key hash must be 64 lower-case hexadecimal digits",
            Change.PutOrganisation(limits.copy(rate = 0)) to "rate is 0, outside 1 to 1000000000000",
            Change.PutOrganisation(limits.copy(burst = 100)) to
                "maxTokens exceeds burst, so a request of that size could never be admitted",
            Change.PutOrganisation(limits.copy(id = OrganisationId("a b"))) to
                "the name of organisation 'a b' must be ${ValueRules.NAME_RULE}",
            Change.PutRoute(route.copy(backendServers = listOf(engine.id))) to
                "backend server 'e' is not a plain service",
            Change.PutRoute(route.copy(backendServers = emptyList())) to "the route has no backend server",
            Change.PutRoute(route.copy(open = true)) to
                "a non-repeatable route must not be open, because claims belong to an organisation",
            Change.WithdrawModel(model) to "backend server 'e' still uses model 'm'",
            Change.WithdrawAdapter(AdapterId("a")) to "backend server 'e' still uses adapter 'a'",
            Change.WithdrawBackendServer(service.id) to "route 'r' still uses backend server 's'",
            Change.WithdrawOrganisation(organisation) to "key '$hash' still uses organisation 'o'",
            Change.WithdrawRoute(RouteId("x")) to "route 'x' is not in release 1",
            Change.WithdrawKey(KeyHash.of("x")) to "key '${KeyHash.of("x")}' is not in release 1",
            Change.HostGone(Incarnation("")) to "the name of host '' must be ${ValueRules.NAME_RULE}",
        ).forEach { (change, message) ->
            test("fault: $message (${change::class.simpleName})") {
                NoteValidator.validate(note(change), release) shouldContain NoteFault(1, message)
            }
        }

        test("all faults are listed at once, with the position of their change") {
            val faults = NoteValidator.validate(
                note(Change.WithdrawModel(ModelId("x")), Change.PutRoute(route.copy(open = true)), previous = 9),
                release,
            )
            faults.map { it.change } shouldBe listOf(0, 1, 2)
        }

        test("two changes of the same entry are a fault, whatever the changes are") {
            listOf(Change.PutKey(Key(hash, organisation)), Change.WithdrawKey(hash)).forEach {
                NoteValidator.validate(note(Change.WithdrawKey(hash), it), release) shouldContain
                    NoteFault(2, "key '$hash' is already the subject of change 1")
            }
        }

        test("a note needs an id, an author and a change, and must fit into a peer reply") {
            val empty = ReleaseNote(NoteId(""), ReleaseNumber(1), " ", emptyList())
            NoteValidator.validate(empty, release).size shouldBe 3
            val large = (1..3_000).map { Change.PutKey(Key(KeyHash.of("$it"), organisation)) }
            NoteValidator.validate(note(*large.toTypedArray()), release).map { it.change } shouldBe listOf(0)
        }

        test("a key that the log has withdrawn may be withdrawn again by a note") {
            val gone = release.copy(keys = emptyMap())
            withClue("an operator repeats the withdrawal in a note") {
                NoteValidator.validate(note(Change.WithdrawKey(hash)), gone, setOf(hash)).shouldBeEmpty()
            }
        }
    })
