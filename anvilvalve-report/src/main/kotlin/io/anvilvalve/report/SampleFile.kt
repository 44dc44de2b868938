package io.anvilvalve.report

import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import java.nio.ByteBuffer
import java.nio.file.Files
import java.nio.file.Path
import java.nio.file.StandardCopyOption
import java.nio.file.StandardOpenOption
import kotlin.io.path.bufferedWriter
import kotlin.io.path.exists
import kotlin.io.path.useLines

/** Samples as JSON lines in [path]; a line that a crash cut short is skipped when reading. */
internal class SampleFile(private val path: Path) {
    private val json = Json { ignoreUnknownKeys = true }

    fun append(samples: List<Sample>) {
        val lines = samples.joinToString("") { json.encodeToString(Sample.serializer(), it) + "\n" }
        // Starts a new line if a crash cut the last line short, so that the damage does not extend to the next sample.
        val separator = if (endsInsideLine()) "\n" else ""
        val options = arrayOf(StandardOpenOption.CREATE, StandardOpenOption.APPEND)
        Files.writeString(path, separator + lines, *options)
    }

    /** Returns all samples, oldest first. */
    fun read(): List<Sample> {
        if (!path.exists()) return emptyList()
        return path.useLines { lines -> lines.mapNotNull(::parse).toList() }.sortedBy { it.atMillis }
    }

    /** Removes samples older than [beforeMillis] by replacing the file. */
    fun prune(beforeMillis: Long) {
        if (!path.exists()) return
        val temporary = path.resolveSibling("${path.fileName}.tmp")
        temporary.bufferedWriter().use { writer ->
            read().filter { it.atMillis >= beforeMillis }
                .forEach { writer.appendLine(json.encodeToString(Sample.serializer(), it)) }
        }
        Files.move(temporary, path, StandardCopyOption.REPLACE_EXISTING)
    }

    private fun parse(line: String): Sample? = try {
        json.decodeFromString(Sample.serializer(), line)
    } catch (_: SerializationException) {
        null
    }

    private fun endsInsideLine(): Boolean {
        if (!path.exists() || Files.size(path) == 0L) return false
        Files.newByteChannel(path).use { channel ->
            val last = ByteBuffer.allocate(1)
            channel.position(channel.size() - 1).read(last)
            return last.get(0) != '\n'.code.toByte()
        }
    }
}
