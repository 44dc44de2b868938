package io.anvilvalve.rules.release

import io.anvilvalve.api.log.LogRecord
import kotlin.random.Random

/** Actions into which the virtual fleet injects faults. */
internal enum class InjectionPoint { CLAIM, OUTCOME, ABANDON, WITHDRAWAL, NOTE, CALL, REPLY }

internal enum class Fault {
    /** The process ends at this point; an append may still take effect. */
    CRASH,

    /** The action takes effect, but its answer is lost. */
    LOST_ANSWER,

    /** The action does not take effect, and the process cannot tell. */
    LOST_REQUEST,

    /** The answer is lost, and the action takes effect much later. */
    DELAYED,

    /** The action is refused. */
    REFUSED,

    /** An append takes effect twice, the second time later. */
    DUPLICATED,

    /** The log is unavailable for some seconds from this point on. */
    OUTAGE,

    /** The process is paused for some seconds. */
    PAUSE,
}

/** Decides which fault, if any, is injected at the next pass of an injection point. */
internal fun interface FaultPlan {
    fun next(point: InjectionPoint): Fault?

    companion object {
        val none = FaultPlan { null }

        fun random(random: Random, share: Double) = FaultPlan {
            if (random.nextDouble() < share) Fault.entries.random(random) else null
        }

        /** Injects each planned fault at the given pass of its injection point, counted from 0. */
        fun of(planned: List<Triple<InjectionPoint, Int, Fault>>): FaultPlan {
            val passes = HashMap<InjectionPoint, Int>()
            return FaultPlan { point ->
                val pass = passes.merge(point, 1, Int::plus)!! - 1
                planned.firstOrNull { it.first == point && it.second == pass }?.third
            }
        }
    }
}

/** Bugs seeded into a host to show that the checkers detect them. */
internal enum class SeededBug { RUN_TWICE, RUN_BEFORE_READ_BACK, NOT_RUN_AFTER_RUN, SKIPPED_NOTE, WRONG_REPLAY }

internal fun injectionPointOf(record: LogRecord): InjectionPoint? = when (record) {
    is LogRecord.Claims -> InjectionPoint.CLAIM
    is LogRecord.ClaimOutcome -> InjectionPoint.OUTCOME
    is LogRecord.ClaimAbandoned -> InjectionPoint.ABANDON
    is LogRecord.KeyWithdrawn -> InjectionPoint.WITHDRAWAL
    is LogRecord.Note -> InjectionPoint.NOTE
    else -> null
}
