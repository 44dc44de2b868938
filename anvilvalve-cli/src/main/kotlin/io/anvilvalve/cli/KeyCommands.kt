package io.anvilvalve.cli

import com.github.ajalt.clikt.core.terminal
import com.github.ajalt.clikt.parameters.arguments.argument
import io.anvilvalve.api.id.KeyHash
import io.anvilvalve.api.result.ResultCode
import kotlinx.serialization.json.JsonPrimitive

internal class KeyCommand : GroupCommand("key", "Commands about callers' keys.")

internal class KeyWithdrawCommand :
    OutcomeCommand("withdraw", "Withdraws a key permanently, even while the log is unavailable.") {
    private val hash by argument(help = "SHA-256 of the key, as printed by 'key hash'.")

    override suspend fun perform(): Outcome = if (hashPattern.matches(hash)) {
        root.openContext().hosts.withdrawKey(KeyHash(hash))
    } else {
        Outcome(ExitCode.REJECTED, ResultCode.MALFORMED_REQUEST, listOf("the hash must be 64 lower-case hex digits"))
    }

    private companion object {
        val hashPattern = Regex("[0-9a-f]{64}")
    }
}

/** Reads the key from standard input, because arguments are visible to other users of the machine. */
internal class KeyHashCommand : OutcomeCommand("hash", "Prints the hash of the key on the first line of stdin.") {
    override suspend fun perform(): Outcome {
        val key = terminal.readLineOrNull(hideInput = true)?.trim().orEmpty()
        if (key.isEmpty()) {
            return Outcome(ExitCode.REJECTED, ResultCode.MALFORMED_REQUEST, listOf("the first input line is empty"))
        }
        val hash = KeyHash.of(key).hex
        return Outcome.ok(listOf(hash), mapOf("hash" to JsonPrimitive(hash)))
    }
}
