package io.anvilvalve.cli

import arrow.core.Either
import arrow.core.flatMap
import io.anvilvalve.api.id.NoteId
import io.anvilvalve.api.id.ReleaseNumber
import io.anvilvalve.api.release.Change
import io.anvilvalve.api.release.ReleaseNote
import kotlinx.serialization.Serializable
import java.nio.file.Files
import java.nio.file.Path
import java.security.MessageDigest

/**
 * Release note file as written by operators.
 *
 * [expectedPrevious] is required, so that publishing the same file again after a lost response cannot take effect
 * twice. A missing [id] is derived from the content.
 */
@Serializable
internal data class NoteFile(
    val expectedPrevious: ReleaseNumber,
    val changes: List<Change>,
    val id: NoteId? = null,
    val author: String? = null,
) {
    fun toNote(defaultAuthor: String): ReleaseNote {
        val effectiveAuthor = author ?: defaultAuthor
        return ReleaseNote(id ?: derivedId(effectiveAuthor), expectedPrevious, effectiveAuthor, changes)
    }

    private fun derivedId(effectiveAuthor: String): NoteId {
        val text = CliJson.format.encodeToString(serializer(), copy(author = effectiveAuthor))
        val digest = MessageDigest.getInstance("SHA-256").digest(text.toByteArray())
        return NoteId("note-" + digest.take(ID_BYTES).joinToString("") { "%02x".format(it) })
    }

    companion object {
        private const val ID_BYTES = 16

        /** Reads the note at [path], or returns the reason why the file cannot be read or parsed. */
        fun read(path: Path, defaultAuthor: String): Either<String, ReleaseNote> =
            Either.catch { Files.readString(path) }
                .mapLeft { "$path cannot be read: ${it.javaClass.simpleName}" }
                .flatMap { parse(it, defaultAuthor) }

        fun parse(text: String, defaultAuthor: String): Either<String, ReleaseNote> =
            Either.catch { CliJson.format.decodeFromString(serializer(), text).toNote(defaultAuthor) }
                .mapLeft { "the file is not a valid release note: ${it.message?.lineSequence()?.first()}" }
    }
}
