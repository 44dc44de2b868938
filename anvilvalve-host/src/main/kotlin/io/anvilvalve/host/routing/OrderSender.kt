package io.anvilvalve.host.routing

import arrow.core.Either
import arrow.core.getOrElse
import io.anvilvalve.api.routing.Backend
import io.anvilvalve.api.routing.StateStore
import io.anvilvalve.net.CallRequest
import io.anvilvalve.net.ServerCalls
import io.anvilvalve.net.executeWithin
import io.anvilvalve.rules.routing.OrderOutcome
import io.anvilvalve.rules.routing.RoutingEffect
import io.anvilvalve.rules.routing.RoutingEvent
import java.io.IOException
import java.util.concurrent.Executors
import kotlin.time.Duration.Companion.seconds

/** Acquires fencing tokens from the store and sends stage orders to engines, one at a time on a single thread. */
internal class OrderSender(
    private val calls: ServerCalls,
    private val store: StateStore,
    private val dialect: RoutingDialect,
    private val holder: String,
    private val post: (RoutingEvent) -> Unit,
) : AutoCloseable {
    private val executor = Executors.newSingleThreadExecutor { Thread(it, "orders").apply { isDaemon = true } }

    fun acquireFencingToken() = executor.execute {
        post(RoutingEvent.FencingTokenAcquired(store.acquireFencingToken(holder).getOrNull()))
    }

    /** The rules send no further order before they know the outcome of this one, so they get it whatever is thrown. */
    fun submit(order: RoutingEffect.SendOrder) = executor.execute {
        post(RoutingEvent.OrderEnded(Either.catch { send(order) }.getOrElse { OrderOutcome.UNKNOWN }))
    }

    override fun close() {
        executor.shutdownNow()
    }

    /**
     * Reads the number of orders that the engine has accepted before it checks the fencing token.
     *
     * The order carries the number of accepted orders, so the engine refuses an order that arrives after one of a
     * newer holder.
     */
    private fun send(order: RoutingEffect.SendOrder): OrderOutcome {
        val report = call(order.server, request(order.server, "GET", dialect.reportPath)) ?: return OrderOutcome.REFUSED
        val acceptedOrders = dialect.orderCount(report.body).fold({ return OrderOutcome.REFUSED }, { it })
        val newest = store.isNewestFencingToken(order.fence).fold({ return OrderOutcome.REFUSED }, { it })
        if (!newest) return OrderOutcome.FENCE_LOST
        val body = dialect.stageOrder(StageOrder(order.stage, holder, order.fence.number, acceptedOrders))
        val reply =
            call(order.server, request(order.server, "POST", dialect.orderPath, body)) ?: return OrderOutcome.UNKNOWN
        return when (reply.status) {
            in SUCCESS_STATUSES -> OrderOutcome.ACCEPTED
            FENCE_TOO_LOW -> OrderOutcome.FENCE_LOST
            else -> OrderOutcome.REFUSED
        }
    }

    private class Reply(val status: Int, val body: ByteArray)

    private fun request(server: Backend, method: String, path: String, body: ByteArray? = null): CallRequest {
        val head = dialect.instanceHead(server.id.value).newBuilder().set("Connection", "close")
        if (body != null) head["Content-Type"] = "application/json"
        return CallRequest(server.address, method, path, head.build(), body)
    }

    /** Returns null when no complete answer was received. */
    private fun call(server: Backend, request: CallRequest): Reply? = try {
        calls.create(request).executeWithin(CALL_TIMEOUT) { answer ->
            dialect.reportSignals(server, answer, post)
            Reply(answer.status, answer.bytesAtMost(MAX_REPLY_BYTES))
        }
    } catch (_: IOException) {
        // The resulting outcome is logged with the order.
        null
    }

    private companion object {
        val CALL_TIMEOUT = 1.seconds

        /** A report lists the running requests of an engine. */
        const val MAX_REPLY_BYTES = 256L * 1024
        val SUCCESS_STATUSES = 200..299
        const val FENCE_TOO_LOW = 412
    }
}
