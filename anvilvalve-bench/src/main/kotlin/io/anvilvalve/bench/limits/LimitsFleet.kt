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

/** Hosts with their rules, a log and a network in virtual time. */
internal class LimitsFleet(
    private val random: Random,
    private val organisations: List<Organisation>,
    private val newRules: (Member, Long) -> Reducer<FleetEvent, FleetEffect>,
    private val onAnswer: (RequestId, ResultCode?, Process) -> Unit,
) {
    /** One process of a host; [current] is what the load balancer's health check sees. */
    class Process(
        val index: Int,
        val member: Member,
        val rules: Reducer<FleetEvent, FleetEffect>,
        val startedAt: Duration,
    ) {
        var alive = true
        var current = false
        var applied = -1L
    }

    private class Task(val at: Duration, val order: Long, val run: () -> Unit)

    private val agenda = PriorityQueue<Task>(compareBy<Task> { it.at }.thenBy { it.order })
    private val log = mutableListOf<LogRecord>()
    private val processes = HashMap<Int, Process>()
    private var order = 0L
    private var starts = 0

    var now = Duration.ZERO
        private set
    var logDown = false
    var cutRegion: RegionId? = null
    var sentBytes = 0L
        private set
    var appends = 0
        private set

    val running: List<Process> get() = processes.values.filter { it.alive }

    fun start(index: Int) {
        val region = RegionId("r${index % REGIONS}")
        val member =
            Member(HostId("h$index"), Incarnation("h$index#${starts++}"), "10.0.0.$index:1", dataCentre(index), region)
        val process = Process(index, member, newRules(member, random.nextLong()), now)
        processes[index] = process
        handle(process, FleetEvent.LimitsChanged(organisations))
        every(process, TICK) { handle(process, FleetEvent.Tick) }
        every(process, READ) { readLog(process) }
    }

    fun crash(index: Int) {
        processes[index]?.alive = false
    }

    fun after(delay: Duration, run: () -> Unit) {
        agenda += Task(now + delay, order++, run)
    }

    fun runUntil(end: Duration) {
        while (agenda.isNotEmpty() && agenda.peek().at <= end) {
            val task = agenda.poll()
            now = task.at
            task.run()
        }
        now = end
    }

    fun admit(process: Process, id: RequestId, organisation: Organisation, tokens: Long, patience: Duration) {
        handle(process, FleetEvent.Admit(id, organisation.id, tokens, now - process.startedAt + patience))
    }

    fun settle(process: Process, id: RequestId, used: Long) = handle(process, FleetEvent.Settle(id, used))

    private fun handle(process: Process, event: FleetEvent) {
        if (!process.alive) return
        process.rules.reduce(event, now - process.startedAt).forEach { perform(process, it) }
    }

    private fun perform(process: Process, effect: FleetEffect) {
        when (effect) {
            is FleetEffect.Append -> append(process, effect.record)

            is FleetEffect.Send -> send(process, effect)

            is FleetEffect.Admitted -> onAnswer(effect.id, null, process)

            is FleetEffect.Refused -> onAnswer(effect.id, effect.code, process)

            is FleetEffect.CurrentChanged -> process.current = effect.current

            is FleetEffect.SelfRemoved -> {
                process.alive = false
                process.current = false
                after(RESTART) { start(process.index) }
            }

            else -> Unit
        }
    }

    private fun append(process: Process, record: LogRecord) {
        appends++
        after(LOG_LATENCY) {
            if (reaches(process)) log += record else handle(process, FleetEvent.LogFailed)
        }
    }

    private fun readLog(process: Process) {
        val sentAt = now - process.startedAt
        after(LOG_LATENCY) {
            val end = log.size
            if (reaches(process)) {
                after(LOG_LATENCY) {
                    catchUp(process, end, sentAt)
                }
            } else {
                handle(process, FleetEvent.LogFailed)
            }
        }
    }

    private fun reaches(process: Process) = !logDown && process.member.region != cutRegion

    private fun catchUp(process: Process, end: Int, sentAt: Duration) {
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
        val cut = cutRegion
        if (cut != null && (effect.to.region == cut) != (member.region == cut)) return
        after(if (effect.to.region == member.region) NEAR else FAR) {
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
        private val TICK = 50.milliseconds
        private val READ = 200.milliseconds
        private val LOG_LATENCY = 2.milliseconds
        private val RESTART = 500.milliseconds
        private val NEAR = 1.milliseconds
        private val FAR = 2.milliseconds
    }
}
