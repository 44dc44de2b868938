package io.anvilvalve.standins

import arrow.core.Either
import io.anvilvalve.api.id.ModelId
import io.anvilvalve.api.id.RequestId
import io.anvilvalve.api.port.BackendFault
import io.anvilvalve.api.port.EngineRequest
import io.anvilvalve.api.port.TokenChunk
import io.anvilvalve.api.release.Role
import kotlinx.coroutines.ExperimentalCoroutinesApi
import kotlinx.coroutines.test.TestScope
import kotlinx.coroutines.test.testTimeSource

internal val MODEL = ModelId("map-reader")

internal fun engineRequest(
    name: String,
    promptTokens: Int = 1_500,
    maxTokens: Int = 20,
    priority: Int = 0,
    resumeFrom: Int = 0,
) = EngineRequest(
    RequestId(name),
    attempt = 1,
    model = MODEL,
    prompt = "$name ".padEnd(promptTokens * PromptTokens.CHARS_PER_TOKEN, 'x'),
    promptTokens = promptTokens,
    maxTokens = maxTokens,
    priority = priority,
    resumeFrom = resumeFrom,
)

/** A prefill and a decode engine that run on the virtual time of [scope]. */
@OptIn(ExperimentalCoroutinesApi::class)
internal class EnginePair(scope: TestScope, config: EngineConfig = EngineConfig()) {
    private val network = LocalKvNetwork()
    val prefill = FakeEngine("p", config.copy(role = Role.PREFILL), network, scope.testTimeSource)
    val decode = FakeEngine("d", config.copy(role = Role.DECODE), network, scope.testTimeSource)

    fun held(): List<String> = prefill.held() + decode.held()
}

internal fun List<Either<BackendFault, TokenChunk>>.text(): String =
    mapNotNull { it.getOrNull() }.joinToString("") { it.text }

internal fun EngineRequest.expectedText(): String =
    AnswerText.answer(model, prompt, maxTokens).removePrefix(AnswerText.answer(model, prompt, resumeFrom))
