package io.anvilvalve.rules.routing

import io.anvilvalve.api.result.LogEvent
import io.anvilvalve.api.routing.FencingToken
import io.anvilvalve.api.routing.ServiceSpec
import kotlin.time.Duration

/**
 * Orders engines to change their stage. Only the leader (see [Peers.isLeader]) sends orders, and only while the store
 * confirms that it holds the newest fencing token.
 */
internal class OrderDispatcher(
    private val out: Outbox,
    private val peers: Peers,
    private val balance: StageBalance,
    private val configuration: ConfigurationState,
    private val settings: RoutingSettings,
) {
    private class HeldToken(val token: FencingToken, val usableAt: Duration)

    private class Order(val change: StageChange, val service: ServiceSpec)

    private var held: HeldToken? = null
    private var busy = false
    private var pausedUntil = Duration.ZERO
    private var pending: Order? = null

    fun tick() {
        balance.tick()
        if (busy || out.now < pausedUntil) return
        if (!peers.isLeader) {
            held = null
            return
        }
        val order = nextOrder() ?: return
        val held = held
        if (held == null) {
            busy = true
            out.emit(RoutingEffect.AcquireFencingToken)
        } else if (out.now >= held.usableAt) {
            send(order, held)
        }
    }

    /** A fencing token was acquired; [token] is null if the store did not answer. */
    fun fencingTokenAcquired(token: FencingToken?) {
        busy = false
        if (token == null) {
            pause()
            return
        }
        // The previous holder may still send orders that it has decided on, until its lease has expired.
        held = HeldToken(token, out.now + settings.orderLease)
        out.log(LogEvent.FENCE_TAKEN, "fence" to token)
    }

    fun orderEnded(outcome: OrderOutcome) {
        busy = false
        val order = pending ?: return
        pending = null
        out.log(
            if (outcome == OrderOutcome.REFUSED) LogEvent.ORDER_REFUSED else LogEvent.ORDER_SENT,
            "server" to order.change.server.id,
            "stage" to order.change.stage,
            "outcome" to outcome,
            "fence" to held?.token,
        )
        when (outcome) {
            OrderOutcome.ACCEPTED, OrderOutcome.UNKNOWN ->
                balance.recordOrder(order.change, checkNotNull(order.service.engine))

            OrderOutcome.REFUSED -> Unit

            OrderOutcome.FENCE_LOST -> held = null
        }
        if (outcome != OrderOutcome.ACCEPTED) pause()
    }

    private fun send(order: Order, held: HeldToken) {
        busy = true
        pending = order
        out.emit(RoutingEffect.SendOrder(order.change.server, order.change.stage, held.token))
    }

    private fun nextOrder(): Order? = configuration.current?.services?.values?.firstNotNullOfOrNull { service ->
        balance.nextChange(service)?.let { Order(it, service) }
    }

    private fun pause() {
        pausedUntil = out.now + RoutingTimes.ORDER_PAUSE
    }
}
