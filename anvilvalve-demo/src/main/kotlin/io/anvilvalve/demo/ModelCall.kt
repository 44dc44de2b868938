package io.anvilvalve.demo

import io.anvilvalve.api.id.ModelId
import io.anvilvalve.standins.AnswerText

/**
 * A request to a model.
 *
 * @property cancelAfter tokens after which the caller closes the connection; null to read the complete answer.
 */
internal data class ModelCall(
    val tenant: Tenant,
    val model: ModelId,
    val text: String,
    val maxTokens: Int,
    val stream: Boolean = true,
    val chat: Boolean = true,
    val cancelAfter: Int? = null,
) {
    /** Text that the engines generate; for chat calls, hosts convert the messages into this prompt. */
    val expected: String
        get() = AnswerText.answer(model, if (chat) "user: $text\nassistant: " else text, maxTokens)

    override fun toString(): String =
        "${tenant.organisation.id}, $model, prompt of ${text.length} characters, max_tokens $maxTokens, stream $stream"
}
