package io.anvilvalve.bench.router

import java.util.concurrent.TimeUnit

/** A stand-in in a process of its own, so that its work is not counted as the router's. */
internal class EngineProcess(vararg arguments: String) : AutoCloseable {
    private val process = ProcessBuilder(
        listOf(
            ProcessHandle.current().info().command().orElse("java"),
            "-cp",
            System.getProperty("java.class.path"),
            "io.anvilvalve.standins.MainKt",
        ) + arguments,
    ).redirectError(ProcessBuilder.Redirect.DISCARD).start()

    /** Address that the stand-in listens on. */
    val address: String =
        process.inputReader().readLine()?.substringAfterLast(' ') ?: error("the stand-in did not start")

    override fun close() {
        process.destroy()
        process.waitFor(STOP_SECONDS, TimeUnit.SECONDS)
    }

    private companion object {
        const val STOP_SECONDS = 5L
    }
}
