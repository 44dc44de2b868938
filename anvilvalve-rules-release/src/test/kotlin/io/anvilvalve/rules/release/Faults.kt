package io.anvilvalve.rules.release

import io.anvilvalve.api.log.LogRecord
import kotlin.random.Random

/** Points at which the virtual fleet injects faults. */
internal enum class Step { CLAIM, OUTCOME, ABANDON, WITHDRAWAL, NOTE, CALL, REPLY }

internal enum class Fault {
    /** The process ends before it acts; its append may be on its way. */
    DEATH,

    /** The action takes effect and its answer is lost. */
    LOST_ANSWER,

    /** The action does not take effect, and the process cannot tell. */
    LOST_REQUEST,

    /** The answer is lost, and the action takes effect much later. */
    LATE,

    /** The action is refused. */
    REFUSED,

    /** An append takes effect twice, the second time later. */
    DOUBLED,

    /** The log is down from here on for some seconds. */
    OUTAGE,

    /** The process is paused for some seconds. */
    PAUSE,
}

/** Decides which fault happens at the next pass of a step. */
internal fun interface FaultPlan {
    fun next(step: Step): Fault?

    companion object {
        val none = FaultPlan { null }

        fun random(random: Random, share: Double) = FaultPlan {
            if (random.nextDouble() < share) Fault.entries.random(random) else null
        }

        /** Injects each planned fault at the given pass of its step, counted from 0. */
        fun of(planned: List<Triple<Step, Int, Fault>>): FaultPlan {
            val passes = HashMap<Step, Int>()
            return FaultPlan { step ->
                val pass = passes.merge(step, 1, Int::plus)!! - 1
                planned.firstOrNull { it.first == step && it.second == pass }?.third
            }
        }
    }
}

/** Faults of a host, planted to show that the checkers catch them. */
internal enum class Plant { RUN_TWICE, RUN_BEFORE_READ_BACK, NOT_RUN_AFTER_RUN, SKIPPED_NOTE, WRONG_REPLAY }

internal fun stepOf(record: LogRecord): Step? = when (record) {
    is LogRecord.Claims -> Step.CLAIM
    is LogRecord.ClaimOutcome -> Step.OUTCOME
    is LogRecord.ClaimAbandoned -> Step.ABANDON
    is LogRecord.KeyWithdrawn -> Step.WITHDRAWAL
    is LogRecord.Note -> Step.NOTE
    else -> null
}
