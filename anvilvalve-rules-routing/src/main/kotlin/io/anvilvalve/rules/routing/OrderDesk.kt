package io.anvilvalve.rules.routing

import io.anvilvalve.api.result.LogEvent
import io.anvilvalve.api.routing.ServiceSpec
import kotlin.time.Duration

/**
 * Has engines change their stage. One host gives orders: the one with the lowest id among those that hear each other,
 * and only while the store shows that it took the newest fencing number.
 */
internal class OrderDesk(
    private val out: Outbox,
    private val peers: Peers,
    private val balance: StageBalance,
    private val configuration: ConfigurationState,
    private val settings: RoutingSettings,
) {
    private class Fence(val number: Long, val usableAt: Duration)

    private class Order(val change: StageChange, val service: ServiceSpec)

    private var fence: Fence? = null
    private var busy = false
    private var quietUntil = Duration.ZERO
    private var pending: Order? = null

    fun tick() {
        balance.tick()
        if (busy || out.now < quietUntil) return
        if (!peers.leads) {
            fence = null
            return
        }
        val order = wanted() ?: return
        val held = fence
        if (held == null) {
            busy = true
            out.emit(RoutingEffect.AcquireFencingToken)
        } else if (out.now >= held.usableAt) {
            give(order, held)
        }
    }

    /** A fencing number was taken; null when the store did not answer. */
    fun fenceTaken(number: Long?) {
        busy = false
        if (number == null) {
            pause()
            return
        }
        // The holder before may still send what it decided; its turn has ended when its lease has.
        fence = Fence(number, out.now + settings.orderLease)
        out.log(LogEvent.FENCE_TAKEN, "fence" to number)
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
            "fence" to fence?.number,
        )
        when (outcome) {
            OrderOutcome.ACCEPTED, OrderOutcome.UNKNOWN ->
                balance.ordered(order.change, checkNotNull(order.service.engine))

            OrderOutcome.REFUSED -> Unit

            OrderOutcome.FENCE_LOST -> fence = null
        }
        if (outcome != OrderOutcome.ACCEPTED) pause()
    }

    private fun give(order: Order, held: Fence) {
        busy = true
        pending = order
        out.emit(RoutingEffect.SendOrder(order.change.server, order.change.stage, held.number))
    }

    private fun wanted(): Order? = configuration.current?.services?.values?.firstNotNullOfOrNull { service ->
        balance.next(service)?.let { Order(it, service) }
    }

    private fun pause() {
        quietUntil = out.now + RoutingTimes.ORDER_PAUSE
    }
}
