package io.anvilvalve.net

import io.anvilvalve.api.id.HostId
import io.anvilvalve.api.id.Incarnation
import io.anvilvalve.api.id.LogOffset
import io.anvilvalve.api.peer.PeerFrame
import io.anvilvalve.api.peer.PeerMessage
import io.anvilvalve.api.peer.RecordBytes
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import io.ktor.utils.io.ByteReadChannel
import java.nio.ByteBuffer
import kotlin.random.Random

internal fun probe(id: Long, version: Int = PeerFrame.VERSION) =
    PeerFrame(version, HostId("h1"), Incarnation("h1-1"), LogOffset(3), PeerMessage.Probe(id, LogOffset(2)))

/** Guards against malformed frames that crash the reader, make it allocate too much memory or decode as messages. */
class PeerFramesSpec :
    FunSpec({
        suspend fun read(bytes: ByteArray) = PeerFrames.read(ByteReadChannel(bytes))

        test("consecutive frames decode to what was encoded") {
            val channel = ByteReadChannel(PeerFrames.encode(probe(1))!! + PeerFrames.encode(probe(2))!!)
            PeerFrames.read(channel)?.getOrNull() shouldBe probe(1)
            PeerFrames.read(channel)?.getOrNull() shouldBe probe(2)
            PeerFrames.read(channel) shouldBe null
        }

        val validFrame = PeerFrames.encode(probe(1))!!
        fun length(value: Int) = ByteBuffer.allocate(4).putInt(value).array()
        listOf(
            "of length 0" to length(0),
            "of negative length" to length(-1),
            "over 1 MB" to length(PeerFrames.MAX_BYTES + 1) + ByteArray(64),
            "truncated in its length" to validFrame.copyOf(2),
            "truncated in its body" to validFrame.copyOf(validFrame.size - 1),
            "of another version" to PeerFrames.encode(probe(1, version = 2))!!,
            "of an unknown message" to
                String(validFrame, Charsets.ISO_8859_1).replace("pr", "zz").toByteArray(Charsets.ISO_8859_1),
        ).forEach { (name, bytes) ->
            test("a frame $name is refused") { read(bytes)?.isLeft() shouldBe true }
        }

        test("a message over 1 MB is not encoded") {
            val big = PeerMessage.Records(LogOffset(0), listOf(RecordBytes(ByteArray(PeerFrames.MAX_BYTES))))
            PeerFrames.encode(probe(1).copy(message = big)) shouldBe null
        }

        test("corrupted frames never throw and a valid one still decodes") {
            val random = Random(seed = 11)
            repeat(5_000) {
                val bytes = validFrame.copyOf(random.nextInt(1, validFrame.size + 1))
                repeat(random.nextInt(1, 4)) { bytes[random.nextInt(bytes.size)] = random.nextInt().toByte() }
                read(bytes)
                read(random.nextBytes(random.nextInt(1, 64)))
            }
            read(validFrame)?.getOrNull() shouldBe probe(1)
        }
    })
