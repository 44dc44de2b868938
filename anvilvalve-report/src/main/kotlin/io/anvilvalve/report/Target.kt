package io.anvilvalve.report

/** Service-level target that 95 in 100 answers must meet; [met] counts those of [total] that did. */
internal enum class Target(val label: String, val total: Measure, val met: Measure) {
    FIRST_TOKEN("first token within 1.5 s", Measure.FIRST_TOKENS, Measure.FIRST_TOKENS_MET),
    TOKEN_GAP("28 ms between tokens", Measure.TOKEN_GAPS, Measure.TOKEN_GAPS_MET),
    ;

    companion object {
        /** Share of answers that may miss a target. */
        const val ERROR_BUDGET = 0.05
    }
}
