package io.anvilvalve.standins

import io.anvilvalve.api.id.DataCentreId
import io.anvilvalve.api.id.HostId
import io.anvilvalve.api.id.RegionId
import io.anvilvalve.api.port.LiveHost
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import kotlinx.coroutines.ExperimentalCoroutinesApi
import kotlinx.coroutines.delay
import kotlinx.coroutines.test.runTest
import kotlinx.coroutines.test.testTimeSource
import kotlin.time.Duration.Companion.seconds

/** Guards against a live list that makes a change visible too early, too late or never. */
@OptIn(ExperimentalCoroutinesApi::class)
class FakeLiveHostListSpec :
    FunSpec({
        fun host(id: String) =
            LiveHost(HostId(id), "127.0.0.1", 7_000, DataCentreId("dc"), RegionId("r"), leaving = false)

        test("changes become visible after the lag, in order") {
            runTest {
                val list = FakeLiveHostList(lag = 3.seconds, testTimeSource)
                suspend fun seen() = list.hosts().getOrNull().orEmpty().map { "${it.id}:${it.leaving}" }
                list.put(host("a"))
                delay(1.seconds)
                list.put(host("b"))
                delay(1.seconds)
                list.markLeaving(HostId("a"))
                seen() shouldBe emptyList()
                delay(1.seconds)
                seen() shouldBe listOf("a:false")
                delay(1.seconds)
                seen() shouldBe listOf("a:false", "b:false")
                list.remove(HostId("b"))
                delay(1.seconds)
                seen() shouldBe listOf("a:true", "b:false")
                delay(2.seconds)
                seen() shouldBe listOf("a:true")
            }
        }

        test("an outage is reported and leaves the list unchanged") {
            runTest {
                val list = FakeLiveHostList(lag = 0.seconds, testTimeSource)
                list.put(host("a"))
                list.down = true
                list.hosts().isLeft() shouldBe true
                list.down = false
                list.hosts().getOrNull()?.size shouldBe 1
            }
        }
    })
