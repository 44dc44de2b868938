package io.anvilvalve.bench.router

import java.util.concurrent.TimeUnit

/** An engine stand-in in a separate process, so that its CPU time and allocations do not count as the router's. */
internal class EngineProcess(vararg arguments: String) : AutoCloseable {
    private val process = ProcessBuilder(
        listOf(
            ProcessHandle.current().info().command().orElse("java"),
            "-cp",
            System.getProperty("java.class.path"),
            "io.anvilvalve.standins.MainKt",
        ) + arguments,
    ).redirectError(ProcessBuilder.Redirect.DISCARD).start()

    /** Address that the stand-in listens on, from its first line of output. */
    val address: String =
        process.inputReader().readLine()?.substringAfterLast(' ') ?: error("engine stand-in did not print its address")

    override fun close() {
        process.destroy()
        process.waitFor(STOP_SECONDS, TimeUnit.SECONDS)
    }

    private companion object {
        const val STOP_SECONDS = 5L
    }
}
