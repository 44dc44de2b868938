package io.anvilvalve.rules.release

import io.anvilvalve.api.id.LogOffset
import io.anvilvalve.api.id.RequestId
import io.anvilvalve.api.log.KeptReply
import io.anvilvalve.api.release.Release
import io.anvilvalve.api.result.Executed
import io.anvilvalve.api.result.ResultCode

/** Backend server that counts runs and checks invariants over runs, answers and releases. */
internal class CallChecker {
    val violations = mutableListOf<String>()
    val answers = HashMap<RequestId, String>()
    val runs = HashMap<String, Int>()
    private val ran = HashSet<RequestId>()
    private val notRun = HashSet<RequestId>()
    private val releases = HashMap<LogOffset, Release>()

    /** Runs the call [key] for [id]. */
    fun run(id: RequestId, key: String): KeptReply {
        val count = runs.merge(key, 1, Int::plus)!!
        if (count > 1) violations += "call $key ran $count times"
        if (id in notRun) violations += "request $id ran after the answer 'not run'"
        ran += id
        return KeptReply(200, "text/plain", "$key#$count".toByteArray())
    }

    fun refused(id: RequestId, code: ResultCode, isKnownToHaveRun: Boolean) {
        answered(id, code.name)
        if (code.executed != Executed.NO) return
        notRun += id
        if (id in ran) violations += "request $id was answered $code after it ran"
        if (isKnownToHaveRun && code != ResultCode.IDEMPOTENCY_KEY_REUSED) {
            violations += "request $id was answered $code on a host that knew of the run"
        }
    }

    fun replayed(id: RequestId, key: String, reply: KeptReply) {
        answered(id, "replayed")
        if (reply.body.decodeToString() != "$key#1") violations += "request $id did not get the reply $key#1"
    }

    fun answered(id: RequestId, answer: String) {
        answers.put(id, answer)?.let { violations += "request $id was answered $it and then $answer" }
    }

    /** Checks that all hosts have the same release at the same offset. */
    fun applied(offset: LogOffset, release: Release) {
        if (releases.getOrPut(offset) { release } != release) violations += "releases differ at offset $offset"
    }
}
