package io.anvilvalve.bench.limits

import io.anvilvalve.api.BinaryCodec
import io.anvilvalve.api.Reducer
import io.anvilvalve.api.id.DataCentreId
import io.anvilvalve.api.id.HostId
import io.anvilvalve.api.id.Incarnation
import io.anvilvalve.api.id.LogOffset
import io.anvilvalve.api.id.RegionId
import io.anvilvalve.api.id.RequestId
import io.anvilvalve.api.log.LogRecord
import io.anvilvalve.api.log.Member
import io.anvilvalve.api.peer.PeerFrame
import io.anvilvalve.api.release.Organisation
import io.anvilvalve.api.result.ResultCode
import io.anvilvalve.rules.fleet.FleetEffect
import io.anvilvalve.rules.fleet.FleetEvent
import java.util.PriorityQueue
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** Simulates hosts with their fleet reducers, the shared log and the network in virtual time. */
internal class LimitsFleet(
    private val random: Random,
    private val organisations: List<Organisation>,
    private val newReducer: (Member, Long) -> Reducer<FleetEvent, FleetEffect>,
    private val onDecision: (RequestId, ResultCode?, Process) -> Unit,
) {
    /** One process of a host; [current] is the state that it reports to the load balancer's health check. */
    class Process(
        val index: Int,
        val member: Member,
        val reducer: Reducer<FleetEvent, FleetEffect>,
        val startedAt: Duration,
    ) {
        var alive = true
        var current = false
        var applied = -1L
    }

    private class Task(val at: Duration, val order: Long, val run: () -> Unit)

    private val tasks = PriorityQueue<Task>(compareBy<Task> { it.at }.thenBy { it.order })
    private val log = mutableListOf<LogRecord>()
    private val processes = HashMap<Int, Process>()
    private var order = 0L
    private var starts = 0

    var now = Duration.ZERO
        private set
    var logDown = false
    var partitionedRegion: RegionId? = null
    var sentBytes = 0L
        private set
    var appends = 0
        private set

    val running: List<Process> get() = processes.values.filter { it.alive }

    fun start(index: Int) {
        val region = RegionId("r${index % REGIONS}")
        val member =
            Member(HostId("h$index"), Incarnation("h$index#${starts++}"), "10.0.0.$index:1", dataCentre(index), region)
        val process = Process(index, member, newReducer(member, random.nextLong()), now)
        processes[index] = process
        handle(process, FleetEvent.LimitsChanged(organisations))
        every(process, TICK_INTERVAL) { handle(process, FleetEvent.Tick) }
        every(process, LOG_READ_INTERVAL) { readLog(process) }
    }

    fun crash(index: Int) {
        processes[index]?.alive = false
    }

    fun after(delay: Duration, run: () -> Unit) {
        tasks += Task(now + delay, order++, run)
    }

    fun runUntil(end: Duration) {
        while (tasks.isNotEmpty() && tasks.peek().at <= end) {
            val task = tasks.poll()
            now = task.at
            task.run()
        }
        now = end
    }

    fun admit(process: Process, id: RequestId, organisation: Organisation, tokens: Long, maxWait: Duration) {
        handle(process, FleetEvent.Admit(id, organisation.id, tokens, now - process.startedAt + maxWait))
    }

    fun settle(process: Process, id: RequestId, used: Long) = handle(process, FleetEvent.Settle(id, used))

    private fun handle(process: Process, event: FleetEvent) {
        if (!process.alive) return
        process.reducer.reduce(event, now - process.startedAt).forEach { perform(process, it) }
    }

    private fun perform(process: Process, effect: FleetEffect) {
        when (effect) {
            is FleetEffect.Append -> append(process, effect.record)

            is FleetEffect.Send -> send(process, effect)

            is FleetEffect.Admitted -> onDecision(effect.id, null, process)

            is FleetEffect.Refused -> onDecision(effect.id, effect.code, process)

            is FleetEffect.CurrentChanged -> process.current = effect.current

            is FleetEffect.SelfRemoved -> {
                process.alive = false
                process.current = false
                after(RESTART_DELAY) { start(process.index) }
            }

            else -> Unit
        }
    }

    private fun append(process: Process, record: LogRecord) {
        appends++
        after(LOG_LATENCY) {
            if (canReachLog(process)) log += record else handle(process, FleetEvent.LogFailed)
        }
    }

    private fun readLog(process: Process) {
        val sentAt = now - process.startedAt
        after(LOG_LATENCY) {
            val end = log.size
            if (canReachLog(process)) {
                after(LOG_LATENCY) {
                    applyRecords(process, end, sentAt)
                }
            } else {
                handle(process, FleetEvent.LogFailed)
            }
        }
    }

    private fun canReachLog(process: Process) = !logDown && process.member.region != partitionedRegion

    private fun applyRecords(process: Process, end: Int, sentAt: Duration) {
        for (offset in process.applied.toInt() + 1 until end) {
            process.applied = offset.toLong()
            handle(process, FleetEvent.RecordApplied(LogOffset(process.applied), log[offset]))
        }
        handle(process, FleetEvent.TailReached(sentAt))
    }

    private fun send(process: Process, effect: FleetEffect.Send) {
        val applied = LogOffset(process.applied)
        val member = process.member
        val frame = PeerFrame(PeerFrame.VERSION, member.host, member.incarnation, applied, effect.message)
        sentBytes += BinaryCodec.encode(PeerFrame.serializer(), frame).size + LENGTH_BYTES
        val partitioned = partitionedRegion
        if (partitioned != null && (effect.to.region == partitioned) != (member.region == partitioned)) return
        after(if (effect.to.region == member.region) SAME_REGION_LATENCY else CROSS_REGION_LATENCY) {
            processes.values.firstOrNull { it.alive && it.member.address == effect.to.address }
                ?.let { handle(it, FleetEvent.PeerReceived(member, applied, effect.message)) }
        }
    }

    private fun every(process: Process, period: Duration, action: () -> Unit) {
        after(period) {
            if (process.alive) {
                action()
                every(process, period, action)
            }
        }
    }

    private fun dataCentre(index: Int) = DataCentreId("dc${index % DATA_CENTRES}")

    companion object {
        const val REGIONS = 2
        private const val DATA_CENTRES = 4
        private const val LENGTH_BYTES = 4
        private val TICK_INTERVAL = 50.milliseconds
        private val LOG_READ_INTERVAL = 200.milliseconds
        private val LOG_LATENCY = 2.milliseconds
        private val RESTART_DELAY = 500.milliseconds
        private val SAME_REGION_LATENCY = 1.milliseconds
        private val CROSS_REGION_LATENCY = 2.milliseconds
    }
}
