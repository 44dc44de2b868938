package io.anvilvalve.report

import io.kotest.core.spec.style.FunSpec
import io.kotest.engine.spec.tempdir
import io.kotest.matchers.shouldBe
import kotlin.io.path.appendText
import kotlin.io.path.readLines

/** Guards against samples that are lost when a crash cuts a write short or when old samples are removed. */
class SampleFileSpec :
    FunSpec({
        fun sample(atMillis: Long) = Sample(atMillis, "h", listOf(Counter(Measure.REQUESTS, "o", "m", 1.0)))

        test("samples before and after a line cut short by a crash are read") {
            val path = tempdir().toPath().resolve("samples.jsonl")
            val file = SampleFile(path)
            file.append(listOf(sample(2), sample(1)))
            path.appendText("""{"at_ms":3,"host":"h","coun""")
            file.append(listOf(sample(4), Sample(5, "gone")))
            file.read() shouldBe listOf(sample(1), sample(2), sample(4), Sample(5, "gone"))
        }

        test("prune removes old samples from the file") {
            val path = tempdir().toPath().resolve("samples.jsonl")
            val file = SampleFile(path)
            file.prune(beforeMillis = 3)
            file.append(listOf(sample(1), sample(2), sample(3), sample(4)))
            file.prune(beforeMillis = 3)
            file.read() shouldBe listOf(sample(3), sample(4))
            path.readLines().size shouldBe 2
        }
    })
