package io.anvilvalve.host

import arrow.core.Either
import io.anvilvalve.api.id.RequestId
import io.anvilvalve.api.log.LogCodec
import io.anvilvalve.api.port.BackendFault
import io.anvilvalve.api.port.BackendServerClient
import io.anvilvalve.api.port.LogService
import io.anvilvalve.core.HostEffect
import io.anvilvalve.core.HostEvent
import io.anvilvalve.net.PeerTransport
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** Components that the effect runner calls. */
internal class EffectPorts(
    val log: LogService,
    val backends: BackendServerClient,
    val peers: PeerTransport,
    val requests: (RequestId) -> CallerRequest?,
    val events: EventLog,
    val metrics: HostMetrics,
    val state: HostState,
)

/** Performs effects without blocking the event loop; results are posted as events. */
internal class EffectRunner(
    private val ports: EffectPorts,
    private val scope: CoroutineScope,
    private val watcher: ServerWatcher,
    private val now: () -> Duration,
    private val post: (HostEvent) -> Unit,
) {
    private val appends = Channel<HostEffect.AppendToLog>(Channel.UNLIMITED)

    fun start() {
        scope.launch { for (effect in appends) append(effect) }
    }

    fun perform(effect: HostEffect) {
        when (effect) {
            is HostEffect.ReadLog -> scope.launch { readLog(effect) }
            is HostEffect.AppendToLog -> appends.trySend(effect)
            is HostEffect.SendFrame -> ports.peers.send(effect.to, effect.frame)
            is HostEffect.StartPrefill -> ports.requests(effect.id)?.enqueue(effect)
            is HostEffect.StartDecode -> ports.requests(effect.id)?.enqueue(effect)
            is HostEffect.CallService -> ports.requests(effect.id)?.enqueue(effect)
            is HostEffect.StopAttempt -> ports.requests(effect.id)?.stopAttempt(effect.attempt)
            is HostEffect.Refuse -> ports.requests(effect.id)?.finish(effect)
            is HostEffect.FinishAnswer -> ports.requests(effect.id)?.finish(effect)
            is HostEffect.FailAnswer -> ports.requests(effect.id)?.finish(effect)
            is HostEffect.ReplyService -> ports.requests(effect.id)?.finish(effect)
            is HostEffect.CancelAttempt -> scope.launch { cancel(effect) }
            is HostEffect.WatchServers -> watcher.watch(effect.servers)
            is HostEffect.ReadState -> scope.launch { readState(effect) }
            is HostEffect.SendOrder -> scope.launch { sendOrder(effect) }
            is HostEffect.ReadyChanged -> ports.state.ready = effect.ready
            is HostEffect.Log -> ports.events.write(effect.event, effect.fields)
            is HostEffect.Measure -> ports.metrics.count(effect.summary)
            is HostEffect.HeadRulesChanged -> ports.state.headRules = effect.rules
            is HostEffect.StatusChanged -> ports.state.status = effect.status
            is HostEffect.Exit -> ports.state.exit.complete(effect.clean)
        }
    }

    private suspend fun readLog(effect: HostEffect.ReadLog) {
        delay(effect.delay)
        val sentAt = now()
        post(HostEvent.LogRead(sentAt, ports.log.read(effect.from, MAX_RECORDS_PER_READ, LOG_READ_WAIT)))
    }

    /** Appends records. Appends run one at a time, so that the log keeps the order of the reducer's decisions. */
    private suspend fun append(effect: HostEffect.AppendToLog) {
        val result = ports.log.append(effect.records.map(LogCodec::encode))
        post(HostEvent.Appended(effect.records, result))
    }

    private suspend fun cancel(effect: HostEffect.CancelAttempt) {
        val confirmed = ports.backends.cancel(effect.server, effect.engineId).isRight()
        post(HostEvent.CancelAnswered(effect.server.id, effect.engineId, confirmed))
    }

    private suspend fun readState(effect: HostEffect.ReadState) =
        post(HostEvent.StateRead(effect.server.id, ports.backends.state(effect.server).getOrNull()))

    private suspend fun sendOrder(effect: HostEffect.SendOrder) {
        val answer = ports.backends.order(effect.server, effect.order)
        post(HostEvent.OrderAnswered(effect.server.id, answer.refused()))
    }

    /** Whether the backend server refused the order with status 409; null after any other fault. */
    private fun Either<BackendFault, Unit>.refused(): Boolean? =
        fold({ fault -> if (fault.status == HTTP_CONFLICT) true else null }, { false })

    private companion object {
        const val MAX_RECORDS_PER_READ = 1_000
        const val HTTP_CONFLICT = 409

        /**
         * Time that a read waits for new records. It limits reads of an idle log to one per second and is well below
         * the freshness time of 8 s.
         */
        val LOG_READ_WAIT = 1.seconds
    }
}
