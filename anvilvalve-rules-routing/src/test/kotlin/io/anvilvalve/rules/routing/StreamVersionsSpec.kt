package io.anvilvalve.rules.routing

import io.anvilvalve.api.id.BackendServerId
import io.anvilvalve.api.id.KeyHash
import io.anvilvalve.api.id.OrganisationId
import io.anvilvalve.api.result.Executed
import io.anvilvalve.api.routing.Backend
import io.anvilvalve.api.routing.OrganisationRule
import io.anvilvalve.api.routing.ServiceId
import io.anvilvalve.api.routing.Stage
import io.anvilvalve.api.routing.WeightedTarget
import io.kotest.assertions.withClue
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.collections.shouldHaveSize
import io.kotest.matchers.shouldBe
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

private const val PATH = "/deeds/1"
private const val TOKENS = 100

/** Longer than the tests, so that streams keep the servers busy at which they began. */
private const val STREAM_MILLIS = 30_000

/** Half of the memory of an engine, so that streams are spread over the engines. */
private const val LONG_PROMPT = 5_000
private const val ENGINES = 120
private val broken = AttemptResult.Failed("reset", Executed.UNKNOWN)
private val otherKey = KeyHash.of("other-key")
private val twoOrganisations = configuration().let {
    val other = OrganisationRule(OrganisationId("other"), setOf(otherKey), null, 0.0, 0.0, tokensWithoutUsage = 200)
    it.copy(organisations = it.organisations + other)
}

private fun engines(vararg versions: String): List<Backend> =
    versions.mapIndexed { index, it -> engine("e$index", Stage.DECODE, version = it) }

private fun RoutingFixture.begin(
    attemptId: String,
    resumption: Resumption? = null,
    key: KeyHash = organisationKey,
): List<RoutingEffect> {
    val effects = arrive(PATH, TOKENS, TOKENS, key, attemptId = attemptId, resumption = resumption).effects
    effects.filterIsInstance<RoutingEffect.Forward>().forEach { start(it) }
    return effects
}

private fun RoutingFixture.start(forward: RoutingEffect.Forward) =
    send(RoutingEvent.AnswerStarted(forward.id, forward.attempt))

private val List<RoutingEffect>.version: String? get() =
    filterIsInstance<RoutingEffect.Forward>().singleOrNull()?.server?.version

/** Guards against answers that are joined from streams of two software versions. */
class StreamVersionsSpec :
    FunSpec({
        test("a stream that breaks off goes on only at the version that began it") {
            data class Case(val versions: List<String>, val events: Boolean, val goesOn: Boolean)
            listOf(
                Case(listOf("1", "2"), events = true, goesOn = false),
                Case(listOf("1", "2"), events = false, goesOn = true),
                Case(listOf("1", "1", "2", "2"), events = true, goesOn = true),
                Case(listOf("1", "1"), events = true, goesOn = true),
            ).forEach { case ->
                withClue(case) {
                    val host = RoutingFixture(backends = engines(*case.versions.toTypedArray()))
                    val forward = host.arrive(PATH, TOKENS, TOKENS, attemptId = "a").forward
                    if (case.events) host.start(forward)
                    val next = host.endAttempt(forward, broken)
                    (next.version != null) shouldBe case.goesOn
                    if (case.events && case.goesOn) next.version shouldBe forward.server.version
                }
            }
        }

        test("a stream that a caller takes up goes on only at the version that began it") {
            data class Case(val name: String, val resumes: String?, val key: KeyHash, val goesOn: Boolean)
            listOf(
                Case("known", "a", organisationKey, goesOn = true),
                Case("unknown", "b", organisationKey, goesOn = false),
                Case("not named", null, organisationKey, goesOn = false),
                Case("of another organisation", "a", otherKey, goesOn = false),
            ).forEach { case ->
                withClue(case.name) {
                    val host = RoutingFixture(
                        configuration = twoOrganisations,
                        backends = engines("1", "1", "1", "2", "2", "2"),
                    )
                    val began = checkNotNull(host.begin("a").version)
                    repeat(5) {
                        val taken = host.begin("t$it", Resumption(case.resumes), case.key)
                        taken.version shouldBe if (case.goesOn) began else null
                        taken.none<RoutingEffect.Refuse>() shouldBe case.goesOn
                        host.advance(100.milliseconds)
                    }
                }
            }
        }

        test("a stream that a caller takes up goes on at the service of the route that began it") {
            val otherService = ServiceId("reader-2")
            val split = configuration().let { base ->
                val targets = listOf(WeightedTarget(modelService, 1), WeightedTarget(otherService, 1))
                val other = base.services.getValue(modelService).copy(id = otherService)
                base.copy(
                    routes = base.routes.map { if (it.pathPrefix == "/deeds/") it.copy(targets = targets) else it },
                    services = base.services + (otherService to other),
                )
            }
            val others = engines("1", "1").map {
                it.copy(id = BackendServerId("other-${it.id.value}"), service = otherService)
            }
            val host = RoutingFixture(configuration = split, backends = engines("1", "1") + others)
            val began = host.begin("a").filterIsInstance<RoutingEffect.Forward>().single().server.service
            val services = (1..6).flatMap { number ->
                host.begin("t$number", Resumption("a")).filterIsInstance<RoutingEffect.Forward>()
                    .map { it.server.service }
            }
            services shouldBe List(6) { began }
            withClue("a stream that is not known") {
                host.begin("u", Resumption("b")).none<RoutingEffect.Refuse>() shouldBe false
            }
        }

        for (hosts in listOf(7, 58)) {
            test("hosts know which version began a stream elsewhere: $hosts hosts") {
                val servers = engines(*Array(ENGINES) { "${it % 2}" })
                val fleet = FleetSimulation(hosts, backends = servers, callMillis = STREAM_MILLIS)
                fleet.run(22.seconds)
                val began = (0 until hosts step hosts / 7).associateWith { number ->
                    fleet.arrive(fleet.hosts[number], PATH, attemptId = "a$number", cost = LONG_PROMPT)
                    fleet.run(400.milliseconds)
                    checkNotNull(fleet.versionsOf["a$number"]?.single())
                }
                began.forEach { (number, version) ->
                    val other = fleet.hosts[(number + hosts / 2) % hosts]
                    fleet.arrive(other, PATH, "t$number", Resumption("a$number"), LONG_PROMPT)
                    fleet.run(300.milliseconds)
                    withClue("t$number") { fleet.versionsOf["t$number"] shouldBe listOf(version) }
                }
            }

            test("a host that has started again learns of the streams that began before: $hosts hosts") {
                val servers = engines(*Array(ENGINES) { "${it % 2}" })
                val fleet = FleetSimulation(hosts, backends = servers, callMillis = STREAM_MILLIS)
                fleet.run(22.seconds)
                val began = (1..6).associateWith { number ->
                    fleet.arrive(fleet.hosts[number], PATH, attemptId = "a$number", cost = LONG_PROMPT)
                    fleet.run(400.milliseconds)
                    checkNotNull(fleet.versionsOf["a$number"]?.single())
                }
                // In a large fleet, the first host is the coordinator that the others ask.
                fleet.kill(fleet.hosts[0])
                fleet.run(1.seconds)
                fleet.restart(fleet.hosts[0])
                fleet.run(4.seconds)
                began.forEach { (number, version) ->
                    val host = fleet.hosts[if (hosts == 7) 0 else hosts - number]
                    fleet.arrive(host, PATH, "t$number", Resumption("a$number"), LONG_PROMPT)
                    fleet.run(300.milliseconds)
                    withClue("t$number") { fleet.versionsOf["t$number"] shouldBe listOf(version) }
                }
            }

            listOf(listOf("1"), listOf("1", "2")).forEach { versions ->
                test("no stream goes on at another version after all hosts ended: $hosts hosts, versions $versions")
                {
                    val servers = engines(*Array(ENGINES) { versions[it % versions.size] })
                    val fleet = FleetSimulation(hosts, backends = servers, callMillis = STREAM_MILLIS)
                    fleet.run(22.seconds)
                    val began = (1..12).associateWith { number ->
                        fleet.arrive(fleet.hosts[number % hosts], PATH, attemptId = "a$number", cost = LONG_PROMPT)
                        fleet.run(400.milliseconds)
                        checkNotNull(fleet.versionsOf["a$number"]?.single())
                    }
                    fleet.hosts.forEach(fleet::kill)
                    fleet.hosts.forEach(fleet::restart)
                    fleet.run(2.seconds)
                    // In another order, because a fleet without load selects the servers in the same one.
                    began.keys.reversed().forEach { number ->
                        val host = fleet.hosts[number % hosts]
                        fleet.arrive(host, PATH, "t$number", Resumption("a$number"), LONG_PROMPT)
                        fleet.run(300.milliseconds)
                    }
                    val joined = began.filter { (number, version) ->
                        fleet.versionsOf["t$number"].orEmpty().any { it != version }
                    }
                    joined.keys shouldHaveSize 0
                    if (versions.size == 1) {
                        began.keys.count { fleet.versionsOf["t$it"] != null } shouldBe began.size
                    }
                }
            }
        }
    })
