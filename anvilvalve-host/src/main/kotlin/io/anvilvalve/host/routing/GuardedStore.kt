package io.anvilvalve.host.routing

import arrow.core.Either
import arrow.core.flatten
import io.anvilvalve.api.result.bounded
import io.anvilvalve.api.routing.FencingToken
import io.anvilvalve.api.routing.StatePage
import io.anvilvalve.api.routing.StateStore
import io.anvilvalve.api.routing.StateTopic
import io.anvilvalve.api.routing.StoreFault
import io.anvilvalve.api.routing.StorePosition
import io.anvilvalve.api.routing.StoredEntry
import kotlin.time.Duration

/** Turns exceptions of [store] into faults, so that they end none of the threads that use it, and tells [onError] of them. */
internal class GuardedStore(private val store: StateStore, private val onError: (Throwable) -> Unit) : StateStore {
    override fun newest(topic: StateTopic, keep: (StoredEntry) -> StoredEntry): Either<StoreFault, StatePage> =
        guarded { store.newest(topic, keep) }

    override fun read(topic: StateTopic, from: StorePosition, wait: Duration): Either<StoreFault, StatePage> =
        guarded { store.read(topic, from, wait) }

    override fun acquireFencingToken(holder: String): Either<StoreFault, FencingToken> =
        guarded { store.acquireFencingToken(holder) }

    override fun isNewestFencingToken(token: FencingToken): Either<StoreFault, Boolean> =
        guarded { store.isNewestFencingToken(token) }

    override fun put(topic: StateTopic, key: String, value: ByteArray): Either<StoreFault, Unit> =
        guarded { store.put(topic, key, value) }

    override fun remove(topic: StateTopic, key: String): Either<StoreFault, Unit> = guarded { store.remove(topic, key) }

    private inline fun <T> guarded(call: () -> Either<StoreFault, T>): Either<StoreFault, T> = Either.catch(call)
        .mapLeft {
            onError(it)
            StoreFault("unexpected error: ${it.toString().bounded()}")
        }
        .flatten()
}
