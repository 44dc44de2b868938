package io.anvilvalve.bench.policy

import io.anvilvalve.api.id.BackendServerId
import io.anvilvalve.api.id.DataCentreId
import io.anvilvalve.api.id.HostId
import io.anvilvalve.api.id.ModelId
import io.anvilvalve.api.id.OrganisationId
import io.anvilvalve.api.id.RequestId
import io.anvilvalve.api.peer.PlacementOutcome
import io.anvilvalve.api.peer.WorkItem
import io.anvilvalve.api.port.CacheEvent
import io.anvilvalve.api.port.LoadReport
import io.anvilvalve.api.release.BackendServer
import io.anvilvalve.api.release.Model
import io.anvilvalve.rules.scheduling.PoolScheduler
import io.anvilvalve.rules.scheduling.SchedulingEffect
import io.anvilvalve.rules.scheduling.SchedulingEvent
import io.anvilvalve.rules.scheduling.SchedulingSettings
import kotlin.time.Duration.Companion.microseconds
import kotlin.time.Duration.Companion.milliseconds

/** The production scheduler on one owner host; its events arrive after the latency between the hosts. */
internal class SchedulerPolicy(
    private val workload: Workload,
    private val simulation: Simulation,
    private val sink: DecisionSink,
    settings: SchedulingSettings = SchedulingSettings(),
) : Policy {
    private val scheduler = PoolScheduler(settings)
    private val owner = workload.hosts.first()
    private val requests = HashMap<RequestId, Request>()

    fun start() {
        val servers = workload.workers.map { backendServer(it) }
        val models = workload.models.map { Model(ModelId(it), kvBytesPerToken = workload.kvBytesPerToken) }
        send(SchedulingEvent.ServersChanged(servers, models))
        simulation.every(TICK.inWholeMicroseconds, workload.durationMicros) { send(SchedulingEvent.Tick) }
    }

    override fun submit(request: Request) {
        val sentAt = simulation.now
        val attempt = request.attempt
        val item = item(request, sentAt)
        requests[item.id] = request
        simulation.after(latency(request)) { send(SchedulingEvent.Submitted(item, attempt)) }
    }

    override fun progress(request: Request, step: Progress) = simulation.after(latency(request)) {
        send(SchedulingEvent.Progressed(id(request), step.attempt, step.phase, step.tokens, step.micros.microseconds))
    }

    override fun loadReported(worker: WorkerSpec, report: LoadReport) =
        send(SchedulingEvent.LoadReported(BackendServerId(worker.name), report))

    override fun cacheReported(worker: WorkerSpec, events: List<CacheEvent>) =
        send(SchedulingEvent.CacheReported(BackendServerId(worker.name), events))

    private fun send(event: SchedulingEvent) {
        for (effect in scheduler.reduce(event, simulation.now.microseconds)) {
            if (effect is SchedulingEffect.Reply) reply(effect)
        }
    }

    private fun reply(reply: SchedulingEffect.Reply) {
        val request = requests.getValue(reply.id)
        simulation.after(latency(request)) {
            when (val outcome = reply.outcome) {
                is PlacementOutcome.Placed -> sink.place(
                    request,
                    reply.attempt,
                    Placement(outcome.prefill.value, outcome.decode.value, outcome.priority),
                )

                is PlacementOutcome.Refused -> sink.refuse(request, reply.attempt)
            }
        }
    }

    /** Work item for [request]; for a resumed answer, the prompt includes the tokens delivered so far. */
    private fun item(request: Request, now: Long) = WorkItem(
        id = id(request),
        origin = HostId(request.host.name),
        originDataCentre = DataCentreId(request.host.dataCentre),
        organisation = OrganisationId(request.organisation.name),
        model = ModelId(request.spec.model),
        workClass = request.spec.workClass,
        promptTokens = request.promptTokens + request.delivered,
        maxTokens = request.spec.maxTokens - request.delivered,
        prefixHashes = request.prefixHashes,
        firstTokenBudgetMicros = if (request.delivered > 0) RESUME_BUDGET_MICROS else request.deadline - now,
    )

    private fun latency(request: Request): Long =
        if (request.host == owner) 0 else workload.latency(request.host.dataCentre, owner.dataCentre)

    private fun id(request: Request) = RequestId(request.number.toString())

    private fun backendServer(worker: WorkerSpec) = BackendServer(
        id = BackendServerId(worker.name),
        address = "127.0.0.1:1",
        dataCentre = DataCentreId(worker.dataCentre),
        role = worker.role,
        models = listOf(ModelId(worker.model)),
        slots = worker.slots,
        kvPieces = worker.kvPieces,
        linkBytesPerSecond = worker.linkBytesPerSecond,
    )

    private companion object {
        val TICK = 50.milliseconds
        const val RESUME_BUDGET_MICROS = 1_500_000L
    }
}
