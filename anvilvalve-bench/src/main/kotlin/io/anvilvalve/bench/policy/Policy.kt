package io.anvilvalve.bench.policy

import io.anvilvalve.api.peer.Phase
import io.anvilvalve.api.port.CacheEvent
import io.anvilvalve.api.port.LoadReport

/** A scheduling policy under measurement; it answers through [DecisionSink]. */
internal interface Policy {
    /** The host of [request] wants a place for its current attempt. */
    fun submit(request: Request)

    /** A step of an attempt ended or failed at the host of [request]. */
    fun progress(request: Request, step: Progress) = Unit

    /** The report of [worker] is read; it describes a time in the past. */
    fun loadReported(worker: WorkerSpec, report: LoadReport) = Unit

    fun cacheReported(worker: WorkerSpec, events: List<CacheEvent>) = Unit
}

/** A step of an attempt as hosts report it. */
internal class Progress(val attempt: Int, val phase: Phase, val tokens: Int = 0, val micros: Long = 0)

/** What a policy decides at the host of a request. */
internal interface DecisionSink {
    fun place(request: Request, attempt: Int, placement: Placement)

    fun refuse(request: Request, attempt: Int)
}

/** Workers by name for prefill and decode. */
internal class Placement(val prefill: String, val decode: String, val priority: Int = 0)
