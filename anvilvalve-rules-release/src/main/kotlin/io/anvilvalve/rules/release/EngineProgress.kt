package io.anvilvalve.rules.release

import io.anvilvalve.api.port.EngineTarget
import io.anvilvalve.api.release.BackendServer
import io.anvilvalve.api.release.Release
import kotlin.time.Duration

/** Progress of one engine towards its [target]. */
internal class EngineProgress(var server: BackendServer, var target: EngineTarget) {
    enum class Step {
        /** The state will be read at the time [due]. */
        READ_SCHEDULED,

        /** A read of the state is in flight. */
        READING,

        /** The state differs from the target, and the order has not been sent yet. */
        WAITING,

        /** An order was sent and has not been answered. */
        ORDERED,
    }

    var step = Step.READ_SCHEDULED
    var due = Duration.ZERO
    var observed: EngineTarget? = null
    var readAt = -Duration.INFINITE

    /** Time of the last order that this lease holder sent for [target]; null if none, if refused or if reached. */
    var orderedAt: Duration? = null

    /** Whether the engine accepted the order sent at [orderedAt]. */
    var accepted = false

    val isReached: Boolean get() = observed == target

    /** Number of models and adapters, including new versions, that the engine has to load. */
    val pendingLoads: Int
        get() = target.models.entries.count { it !in observed?.models?.entries.orEmpty() } +
            target.adapters.entries.count { it !in observed?.adapters?.entries.orEmpty() }

    fun advance(step: Step, due: Duration) {
        this.step = step
        this.due = due
    }

    fun retarget(server: BackendServer, target: EngineTarget, now: Duration) {
        this.server = server
        if (this.target == target) return
        this.target = target
        orderedAt = null
        accepted = false
        advance(Step.READ_SCHEDULED, now)
    }
}

/** Returns the target state of [server] according to the release. */
internal fun Release.targetOf(server: BackendServer): EngineTarget = EngineTarget(
    role = server.role,
    models = server.models.associateWith { models[it]?.version.orEmpty() },
    adapters = server.adapters.associateWith { adapters[it]?.version.orEmpty() },
)
