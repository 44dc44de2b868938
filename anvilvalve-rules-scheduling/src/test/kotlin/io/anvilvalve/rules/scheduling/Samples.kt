package io.anvilvalve.rules.scheduling

import io.anvilvalve.api.id.BackendServerId
import io.anvilvalve.api.id.DataCentreId
import io.anvilvalve.api.id.HostId
import io.anvilvalve.api.id.ModelId
import io.anvilvalve.api.id.OrganisationId
import io.anvilvalve.api.id.RequestId
import io.anvilvalve.api.peer.Phase
import io.anvilvalve.api.peer.PlacementOutcome
import io.anvilvalve.api.peer.WorkClass
import io.anvilvalve.api.peer.WorkItem
import io.anvilvalve.api.release.BackendServer
import io.anvilvalve.api.release.Model
import io.anvilvalve.api.release.Role
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

internal val MODEL = ModelId("m")

internal fun server(name: String, role: Role, slots: Int = 20, centre: String = "a", leaving: Boolean = false) =
    BackendServer(
        BackendServerId(name),
        "127.0.0.1:1",
        DataCentreId(centre),
        role,
        listOf(MODEL),
        slots = slots,
        leaving = leaving,
    )

internal fun item(
    id: String,
    organisation: String = "o",
    workClass: WorkClass = WorkClass.INTERACTIVE,
    prompt: Int = 1_000,
    output: Int = 100,
    centre: String = "a",
    prefixes: List<Long> = emptyList(),
    budget: Duration = 1_500.milliseconds,
) = WorkItem(
    id = RequestId(id),
    origin = HostId("h"),
    originDataCentre = DataCentreId(centre),
    organisation = OrganisationId(organisation),
    model = MODEL,
    workClass = workClass,
    promptTokens = prompt,
    maxTokens = output,
    prefixHashes = prefixes,
    firstTokenBudgetMicros = budget.inWholeMicroseconds,
)

/** Drives a scheduler one event at a time with a manual clock. */
internal class Driver(vararg servers: BackendServer, settings: SchedulingSettings = SchedulingSettings()) {
    val scheduler = PoolScheduler(settings)
    var now = 0.milliseconds

    init {
        servers(*servers)
    }

    fun servers(vararg servers: BackendServer) =
        send(SchedulingEvent.ServersChanged(servers.toList(), listOf(Model(MODEL))))

    fun send(event: SchedulingEvent): List<SchedulingEffect> = scheduler.reduce(event, now)

    fun submit(item: WorkItem, attempt: Int = 1): PlacementOutcome? =
        replies(send(SchedulingEvent.Submitted(item, attempt)))[item.id.value]

    fun report(id: String, phase: Phase, attempt: Int = 1, tokens: Int = 0, spent: Duration = Duration.ZERO) =
        replies(send(SchedulingEvent.Progressed(RequestId(id), attempt, phase, tokens, spent)))

    fun tick(after: Duration): Map<String, PlacementOutcome> {
        now += after
        return replies(send(SchedulingEvent.Tick))
    }

    fun held(name: String): Pair<Int, Int> = scheduler.heldByServer().getValue(BackendServerId(name))

    private fun replies(effects: List<SchedulingEffect>) =
        effects.filterIsInstance<SchedulingEffect.Reply>().associate { it.id.value to it.outcome }
}
