package io.anvilvalve.rules.routing

import io.anvilvalve.api.result.ResultCode
import io.anvilvalve.api.routing.RoutingConfiguration
import io.anvilvalve.api.routing.StateTopic
import io.kotest.assertions.withClue
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import kotlin.time.Duration.Companion.milliseconds

/** Guards against state that is ignored, lost or older than before after the store came back from an older copy. */
class StoreRestoreSpec :
    FunSpec({
        /** Version with an organisation that has a key, or without a key. */
        fun version(number: Long, hasKey: Boolean = true) =
            if (hasKey) configuration(number) else configuration(number, keys = emptySet())

        fun RoutingFixture.publish(next: RoutingConfiguration, complete: Boolean = false) =
            read(StateTopic.CONFIGURATION, listOf(entry("config", next)), complete)

        /** Whether the key of the organisation is valid at this host. */
        fun RoutingFixture.acceptsKey(path: String) =
            arrive(path).effects.none { it is RoutingEffect.Refuse && it.code == ResultCode.KEY_INVALID }

        listOf(true, false).forEach { complete ->
            test("a version published after a restore is in force, read ${if (complete) "as newest" else "as next"}") {
                val host = RoutingFixture()
                (2L..6L).forEach { host.publish(version(it)) }
                host.restoreStore(lost = 3)
                host.publish(version(4), complete = true)
                host.publish(version(7, hasKey = false), complete)
                host.acceptsKey("/drawers/1") shouldBe false
            }
        }

        test("the versions in the copy and those written again never replace a newer one") {
            val host = RoutingFixture()
            host.publish(version(2))
            host.publish(version(3, hasKey = false))
            host.restoreStore(lost = 3)
            (1L..2L).forEach {
                host.publish(version(it), complete = true)
                withClue("version $it") { host.acceptsKey("/drawers/$it") shouldBe false }
            }
            host.publish(version(3, hasKey = false))
            host.acceptsKey("/drawers/3") shouldBe false
            host.publish(version(4))
            host.acceptsKey("/drawers/4") shouldBe true
        }

        test("a server that registers after a restore is used") {
            val host = RoutingFixture(backends = listOf(plain("p1")))
            repeat(9) { host.updateBackend(plain("p1", slots = it + 3)) }
            host.restoreStore(lost = 9)
            val entries = listOf(host.entry("p1", plain("p1", leaving = true)), host.entry("p2", plain("p2")))
            host.read(StateTopic.DIRECTORY, entries)
            host.arrive("/drawers/1").forward.server.id.value shouldBe "p2"
        }

        test("a server that is missing in the copy is kept until it has had time to register again") {
            val host = RoutingFixture(backends = listOf(plain("p1")))
            host.updateBackend(plain("p2"))
            host.restoreStore(lost = 1)
            host.read(StateTopic.DIRECTORY, listOf(host.entry("p1", plain("p1", leaving = true))))
            host.arrive("/drawers/1").forward.server.id.value shouldBe "p2"
            host.advance(2_300.milliseconds)
            host.arrive("/drawers/2").effects.none<RoutingEffect.Forward>() shouldBe true
        }
    })
