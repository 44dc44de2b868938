package io.anvilvalve.rules.scheduling

/** A feasible placement of one attempt; [prefillMicros] is 0 when the prefill result of an earlier attempt is used. */
internal class Placement(
    val prefill: ServerState,
    val decode: ServerState,
    val prefillMicros: Long,
    val prefillTokens: Double,
    val transfer: LinkSchedule.Transfer,
)
