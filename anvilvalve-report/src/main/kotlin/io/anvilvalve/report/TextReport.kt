package io.anvilvalve.report

import java.time.Instant

/** Renders a report as plain text. */
internal class TextReport(private val report: BurnReport) {
    fun render(): String = buildString {
        appendLine("Service-level burn at ${Instant.ofEpochMilli(report.atMillis)}, ${report.hosts} hosts")
        if (report.unreachable.isNotEmpty()) appendLine("not reachable: ${report.unreachable.joinToString()}")
        appendLine("1.0 uses up the error budget of 5 in 100 exactly; 20 is the most.")
        Target.entries.forEach { appendTarget(it) }
        appendFleet()
        appendRefusals()
    }

    private fun StringBuilder.appendTarget(target: Target) {
        appendLine()
        appendLine(row(target.label, Window.entries.map { it.label }, "state"))
        appendLine(row("fleet", Window.entries.map { burnText(report.fleet.getValue(it).burn(target)) }))
        report.services.forEach { service ->
            val cells = Window.entries.map { burnText(service.burn(it, target)) }
            appendLine(row(service.key.toString(), cells, service.state.label))
        }
    }

    private fun StringBuilder.appendFleet() {
        appendLine()
        appendLine(row("fleet", Window.entries.map { it.label }))
        fun line(label: String, cell: (Totals) -> String) =
            appendLine(row(label, Window.entries.map { cell(report.fleet.getValue(it)) }))
        line("requests") { countText(it[Measure.REQUESTS]) }
        line("meeting both targets") { percentText(it.share(Measure.GOOD_REQUESTS, Measure.REQUESTS)) }
        line("wasted prefill") { percentText(it.share(Measure.WASTED_PREFILL_TOKENS, Measure.PREFILL_TOKENS)) }
    }

    private fun StringBuilder.appendRefusals() {
        appendLine()
        appendLine(row("refused within rate", Window.entries.map { it.label }))
        if (report.refusals.isEmpty()) appendLine("none")
        report.refusals.forEach { (organisation, counts) ->
            appendLine(row(organisation, Window.entries.map { countText(counts.getValue(it)) }))
        }
    }

    private fun row(label: String, cells: List<String>, note: String = ""): String = (
        label.take(LABEL_WIDTH - 1).padEnd(LABEL_WIDTH) + cells.joinToString("") { it.padStart(CELL_WIDTH) } +
            "  $note"
        )
        .trimEnd()

    private companion object {
        const val LABEL_WIDTH = 36
        const val CELL_WIDTH = 10
    }
}
