package io.anvilvalve.bench.policy

import io.anvilvalve.api.peer.Phase
import io.anvilvalve.api.port.CacheEvent
import io.anvilvalve.api.port.LoadReport

/** A scheduling policy under measurement; it returns its decisions through a [DecisionSink]. */
internal interface Policy {
    /** Requests a placement for the current attempt of [request]. */
    fun submit(request: Request)

    /** Receives [step] from the host of [request]. */
    fun progress(request: Request, step: Progress) = Unit

    /** Receives a load report of [worker], which describes its state at an earlier time. */
    fun loadReported(worker: WorkerSpec, report: LoadReport) = Unit

    fun cacheReported(worker: WorkerSpec, events: List<CacheEvent>) = Unit
}

/** Progress of an attempt, as hosts report it to the policy. */
internal class Progress(val attempt: Int, val phase: Phase, val tokens: Int = 0, val micros: Long = 0)

/** Receives the decisions of a policy at the host of a request. */
internal interface DecisionSink {
    fun place(request: Request, attempt: Int, placement: Placement)

    fun refuse(request: Request, attempt: Int)
}

/** Names of the workers chosen for prefill and decode. */
internal class Placement(val prefill: String, val decode: String, val priority: Int = 0)
