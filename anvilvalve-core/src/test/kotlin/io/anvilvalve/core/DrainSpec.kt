package io.anvilvalve.core

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.collections.shouldContain
import io.kotest.matchers.collections.shouldNotContain
import io.kotest.matchers.shouldBe
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Guards against a drain that cuts off a request before the deadline, or that never ends. */
class DrainSpec :
    FunSpec({
        class Case(
            val name: String,
            val idleAfter: Duration,
            val exitBefore: Duration,
            val cuts: Boolean = false,
            val leaveLogged: Boolean = true,
        )

        val deadline = 60.seconds
        val cases = listOf(
            Case("an idle host exits", idleAfter = 0.seconds, exitBefore = 7.seconds),
            Case("a stream that ends in time is not cut off", idleAfter = 40.seconds, exitBefore = 44.seconds),
            Case("a stream past the deadline is cut off", idleAfter = 90.seconds, exitBefore = 64.seconds, cuts = true),
            Case("a host exits if leaving fails", idleAfter = 0.seconds, exitBefore = 17.seconds, leaveLogged = false),
        )

        for (case in cases) {
            test(case.name) {
                val out = Outbox()
                val drain = Drain(out)
                var cut = false
                drain.start(deadline)
                val effects = ArrayList<HostEffect>()
                while (out.now < case.exitBefore) {
                    out.now += 50.milliseconds
                    val running = if (out.now < case.idleAfter && !cut) 1 else 0
                    drain.tick(running, cancels = 0, onDeadline = { cut = true }, onLeaving = { })
                    if (case.leaveLogged && drain.step == Drain.Step.LEAVING) drain.left()
                    effects += out.drain()
                    if (running > 0 && !cut) effects shouldNotContain HostEffect.Exit(clean = true)
                }
                cut shouldBe case.cuts
                effects shouldContain HostEffect.Exit(clean = true)
            }
        }
    })
