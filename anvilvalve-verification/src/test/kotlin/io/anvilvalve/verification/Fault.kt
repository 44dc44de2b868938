package io.anvilvalve.verification

import io.anvilvalve.api.id.BackendServerId
import io.anvilvalve.api.id.ModelId
import io.anvilvalve.api.release.Change
import io.anvilvalve.api.release.Model
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Faults of the design page; [inject] receives the host on which the step occurred. */
internal enum class Fault(val inject: Scenario.(VirtualHost) -> Unit) {
    HOST_DIES({ host -> if (fleet.hosts.values.count { it.alive } > Scenario.HOSTS - 1) fleet.kill(host) }),
    TRANSFER_STALLS({ fleet.backends.transfersToStall += 1 }),
    CALLER_CANCELS({ host ->
        fleet.history.entries.values.filter { it.host == host.member.host }.forEach { fleet.disconnectCaller(it.id) }
    }),
    KEY_WITHDRAWN({ withdrawKey("large-key") }),
    LOG_DOWN({
        fleet.log.unavailable = true
        fleet.queue.schedule(20.seconds) { fleet.log.unavailable = false }
    }),
    LOG_SLOW({
        fleet.log.latency = 400.milliseconds
        fleet.queue.schedule(20.seconds) { fleet.log.latency = 5.milliseconds }
    }),
    ANSWERS_LOST({
        fleet.log.answersToLose += 2
        fleet.backends.answersToLose += 2
    }),
    HOST_PAUSED({ host -> fleet.pause(host, 12.seconds) }),
    OPERATORS_RACE({
        fleet.publish(Change.PutModel(Model(ModelId("m"), version = "3")))
        fleet.publish(Change.PutModel(Model(ModelId("m"), version = "4")))
    }),
    ENGINE_DIES({
        fleet.backends.crash(BackendServerId("d0"))
        fleet.queue.schedule(15.seconds) { fleet.backends.restart(BackendServerId("d0")) }
    }),
}
