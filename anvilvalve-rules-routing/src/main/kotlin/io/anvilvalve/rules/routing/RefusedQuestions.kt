package io.anvilvalve.rules.routing

import io.anvilvalve.api.id.Incarnation
import kotlin.time.Duration

/**
 * Questions that a coordinator has refused by a quota, until their hosts have released the tokens reserved for them.
 *
 * The usage that hosts report contains these tokens, although their requests are not sent.
 */
internal class RefusedQuestions {
    private class Refused(val question: QuestionId, var tokens: Long, val at: Duration)

    private val questions = ArrayList<Refused>()

    fun add(question: QuestionId, tokens: Int, now: Duration) {
        questions += Refused(question, tokens.toLong(), now)
    }

    /** Records that the host withdrew its [question] before the answer arrived. */
    fun withdrawn(question: QuestionId) {
        questions.removeIf { it.question == question }
    }

    /** Records that the host [incarnation] has released [tokens]. */
    fun released(incarnation: Incarnation, tokens: Long) {
        var left = tokens
        for (refused in questions) {
            if (left <= 0) break
            if (refused.question.incarnation != incarnation) continue
            val covered = minOf(left, refused.tokens)
            refused.tokens -= covered
            left -= covered
        }
        if (tokens > 0) questions.removeIf { it.tokens <= 0 }
    }

    /** Tokens that are not released yet; a host that has not reported them for some time has lost the answer. */
    fun tokens(now: Duration): Long {
        if (questions.isEmpty()) return 0
        questions.removeIf { now - it.at >= RoutingTimes.REPORT_TIMEOUT }
        return questions.sumOf { it.tokens }
    }
}
