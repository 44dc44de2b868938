package io.anvilvalve.api.log

import io.anvilvalve.api.id.Incarnation
import io.anvilvalve.api.id.KeyHash
import io.anvilvalve.api.id.NoteId
import io.anvilvalve.api.id.OrganisationId
import io.anvilvalve.api.id.ReleaseNumber
import io.anvilvalve.api.release.Change
import io.anvilvalve.api.release.Key
import io.anvilvalve.api.release.ReleaseNote
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import kotlin.random.Random

/** Guards against records that lose data in the log and against damaged records that stop a reader. */
class LogCodecSpec :
    FunSpec({
        val put = Change.PutKey(Key(KeyHash.of("k"), OrganisationId("o")))
        val note = LogRecord.Note(ReleaseNote(NoteId("n"), ReleaseNumber(3), "op", listOf(put)))
        val records = listOf(
            note,
            LogRecord.HostLeft(Incarnation("a#1")),
            LogRecord.SlotsAssigned(listOf(1, 2), Incarnation("a#1"), listOf(null, Incarnation("b#1"))),
        )

        test("decoding an encoded record gives an equal record") {
            records.forEach { LogCodec.decode(LogCodec.encode(it)).getOrNull() shouldBe it }
        }

        test("decoding a damaged record never throws") {
            val random = Random(seed = 1)
            val bytes = LogCodec.encode(note)
            repeat(2_000) {
                val damaged = bytes.copyOf(random.nextInt(1, bytes.size + 1))
                damaged[random.nextInt(damaged.size)] = random.nextInt().toByte()
                LogCodec.decode(damaged)
            }
        }
    })
