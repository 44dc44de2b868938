package io.anvilvalve.host.routing

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import io.anvilvalve.api.result.LogEvent
import io.anvilvalve.api.routing.FencingToken
import io.anvilvalve.api.routing.StatePage
import io.anvilvalve.api.routing.StateStore
import io.anvilvalve.api.routing.StateTopic
import io.anvilvalve.api.routing.StoreFault
import io.anvilvalve.api.routing.StorePosition
import io.anvilvalve.api.routing.StoredEntry
import io.anvilvalve.rules.routing.RoutingEffect
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.collections.shouldContainExactly
import io.kotest.matchers.shouldBe
import java.util.concurrent.LinkedBlockingQueue
import java.util.concurrent.TimeUnit
import kotlin.time.Duration

/** A store whose [put] blocks until the test supplies its answer. */
private class ManualStore : StateStore {
    val started = LinkedBlockingQueue<String>()
    val answers = LinkedBlockingQueue<Either<StoreFault, Unit>>()

    override fun remove(topic: StateTopic, key: String): Either<StoreFault, Unit> = error("not used")

    override fun put(topic: StateTopic, key: String, value: ByteArray): Either<StoreFault, Unit> {
        started.put(value.decodeToString())
        return answers.take()
    }

    override fun newest(topic: StateTopic, keep: (StoredEntry) -> StoredEntry): Either<StoreFault, StatePage> =
        error("not called")

    override fun read(topic: StateTopic, from: StorePosition, wait: Duration): Either<StoreFault, StatePage> =
        error("not called")

    override fun acquireFencingToken(holder: String): Either<StoreFault, FencingToken> = error("not called")

    override fun isNewestFencingToken(token: FencingToken): Either<StoreFault, Boolean> = error("not called")
}

/** Guards against a queue of writes that grows while the store is slow, and against faults that are not logged. */
class StateWriterSpec :
    FunSpec({
        fun value(text: String, key: String = "key") = RoutingEffect.PutState(StateTopic.USAGE, key, text.toByteArray())

        fun <T> LinkedBlockingQueue<T>.next(): T = checkNotNull(poll(20, TimeUnit.SECONDS)) { "no element within 20 s" }

        test("a newer value replaces one that waits for a slow store") {
            val store = ManualStore()
            StateWriter(store) { _, _ -> }.use { writer ->
                writer.put(value("1"))
                store.started.next() shouldBe "1"
                (2..50).forEach { writer.put(value("$it")) }
                store.answers.put(Unit.right())
                store.started.next() shouldBe "50"
                store.answers.put(Unit.right())
            }
        }

        test("a newer value of one key does not replace that of another one") {
            val store = ManualStore()
            StateWriter(store) { _, _ -> }.use { writer ->
                writer.put(value("1"))
                store.started.next() shouldBe "1"
                writer.put(value("2"))
                writer.put(value("other", key = "other"))
                repeat(3) { store.answers.put(Unit.right()) }
                store.started.next() shouldBe "2"
                store.started.next() shouldBe "other"
            }
        }

        test("the first fault and the first success after it are logged") {
            val store = ManualStore()
            val events = LinkedBlockingQueue<LogEvent>()
            StateWriter(store) { event, _ -> events.put(event) }.use { writer ->
                val fault = StoreFault("busy").left()
                listOf(Unit.right(), fault, fault, Unit.right(), Unit.right()).forEachIndexed { index, answer ->
                    store.answers.put(answer)
                    writer.put(value("$index"))
                    store.started.next() shouldBe "$index"
                }
                writer.put(value("last"))
                store.started.next()
                events.toList() shouldContainExactly listOf(LogEvent.STATE_UNWRITTEN, LogEvent.STATE_WRITTEN)
                store.answers.put(Unit.right())
            }
        }
    })
