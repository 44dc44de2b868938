package io.anvilvalve.standins.crowd

import java.io.File
import java.nio.file.Files
import java.nio.file.Path
import java.util.concurrent.TimeUnit

/**
 * A program that runs as a separate process with a small heap, so that a test can see it run out of memory.
 *
 * @param mainClass class on the class path of the test, started with `--config FILE`.
 * @param settings content of the file.
 * @param ports TCP ports that the program listens on.
 */
class SmallProcess(mainClass: String, settings: String, private val ports: List<Int>, heapMib: Int = HEAP_MIB) :
    AutoCloseable {
    private val directory: Path = Files.createTempDirectory("anvilvalve-process")
    private val log: File = directory.resolve("log").toFile()
    private val process: Process

    init {
        val file = Files.writeString(directory.resolve("host.ini"), settings)
        val command = command(mainClass, heapMib) + listOf("--config", file.toString())
        process = ProcessBuilder(command).redirectErrorStream(true).redirectOutput(log).start()
    }

    val isAlive: Boolean get() = process.isAlive

    val openDescriptors: Int get() = File("/proc/${process.pid()}/fd").list().orEmpty().size

    /**
     * Memory of the process in bytes: its resident pages and what the kernel has received on its ports that it has not
     * read.
     */
    val memoryBytes: Long get() = residentBytes() + unreadBytes()

    /** Lines of the log that report an exhausted heap in any thread. */
    val memoryErrors: List<String> get() = log.readLines().filter { "OutOfMemoryError" in it }.map { it.take(SHOWN) }

    /** Last lines of the log, for the message of a failed check. */
    val logTail: String get() = log.readLines().takeLast(TAIL_LINES).joinToString("\n") { it.take(SHOWN) }

    override fun close() {
        process.destroyForcibly().waitFor(STOP_SECONDS, TimeUnit.SECONDS)
        directory.toFile().deleteRecursively()
    }

    private fun residentBytes(): Long {
        val line = File("/proc/${process.pid()}/status").readLines().first { it.startsWith("VmRSS:") }
        return line.filter(Char::isDigit).toLong() * BYTES_PER_KIB
    }

    private fun unreadBytes(): Long {
        val ports = ports.map { "%04X".format(it) }
        return listOf("/proc/net/tcp", "/proc/net/tcp6").map(::File).filter(File::exists)
            .flatMap { it.readLines().drop(1) }
            .map { it.trim().split(whiteSpace) }
            .filter { it[LOCAL_ADDRESS].substringAfter(':') in ports && it[STATE] != LISTENING }
            .sumOf { it[QUEUES].substringAfter(':').toLong(HEXADECIMAL) }
    }

    private fun command(mainClass: String, heapMib: Int): List<String> = listOf(
        Path.of(System.getProperty("java.home"), "bin", "java").toString(),
        "-Xms48m",
        "-Xmx${heapMib}m",
        "-Xss256k",
        "-XX:+UseSerialGC",
        "-XX:TieredStopAtLevel=1",
        "-XX:MaxMetaspaceSize=72m",
        "-XX:ReservedCodeCacheSize=32m",
        "-cp",
        classPath(mainClass),
        mainClass,
    )

    /**
     * The packaged application where it has been built, as hosts run it. The class path of the tests would add the jars
     * of the test libraries and name those of the application twice; each is an open descriptor and takes heap.
     */
    private fun classPath(mainClass: String): String {
        val code = Class.forName(mainClass).protectionDomain.codeSource.location.path
        return if (code.endsWith(".jar")) code else System.getProperty("java.class.path")
    }

    companion object {
        /** Heap of the process in MiB. */
        const val HEAP_MIB = 48
        private const val STOP_SECONDS = 10L
        private const val BYTES_PER_KIB = 1_024
        private const val SHOWN = 300
        private const val TAIL_LINES = 8
        private const val LOCAL_ADDRESS = 1
        private const val STATE = 3
        private const val QUEUES = 4
        private const val LISTENING = "0A"
        private const val HEXADECIMAL = 16
        private val whiteSpace = Regex("\\s+")

        /** Whether the system shows the memory and the descriptors of processes. */
        val canMeasure: Boolean = File("/proc/self/status").exists() && File("/proc/net/tcp").exists()
    }
}
