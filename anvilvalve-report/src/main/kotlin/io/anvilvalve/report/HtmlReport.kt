package io.anvilvalve.report

import java.time.Instant

/** Renders a report as one HTML page without references to other files. */
internal class HtmlReport(private val report: BurnReport) {
    fun render(): String = buildString {
        append("<!DOCTYPE html><html lang=\"en\"><head><meta charset=\"utf-8\"/>")
        append("<title>Service-level burn</title><style>$STYLE</style></head><body>")
        append("<h1>Service-level burn</h1>")
        append("<p>${Instant.ofEpochMilli(report.atMillis)}, ${report.hosts} hosts</p>")
        if (report.unreachable.isNotEmpty()) {
            append("<p class=\"bad\">Not reachable: ${escapeHtml(report.unreachable.joinToString())}</p>")
        }
        append(tiles())
        append(fleetCharts())
        append(serviceTable())
        append(refusalTable())
        append("</body></html>")
    }

    private fun tiles(): String {
        val hour = report.fleet.getValue(Window.ONE_HOUR)
        val worst = report.services.firstOrNull()
        val wasted = hour.share(Measure.WASTED_PREFILL_TOKENS, Measure.PREFILL_TOKENS)
        val refused = hour[Measure.REFUSED_WITHIN_RATE]
        return "<div class=\"tiles\">" +
            tile(
                "first token, burn 1 h",
                burnText(hour.burn(Target.FIRST_TOKEN)),
                heat(hour.burn(Target.FIRST_TOKEN)),
            ) +
            tile("between tokens, burn 1 h", burnText(hour.burn(Target.TOKEN_GAP)), heat(hour.burn(Target.TOKEN_GAP))) +
            tile("worst served", worst?.key?.toString() ?: "-", stateStyle(worst?.state ?: BurnState.OK)) +
            tile("wasted prefill 1 h", percentText(wasted), if ((wasted ?: 0.0) > WASTE_LIMIT) "warm" else "good") +
            tile("refused within rate 1 h", countText(refused), if (refused > 0) "warm" else "good") +
            "</div>"
    }

    private fun tile(label: String, value: String, style: String) =
        "<div class=\"tile $style\"><b>${escapeHtml(value)}</b><span>$label</span></div>"

    private fun fleetCharts(): String {
        val chart = LineChart(FLEET_WIDTH, FLEET_HEIGHT, axes = true)
        val charts = Target.entries.joinToString("") { target ->
            val svg = chart.render("fleet: ${target.label}", report.history.fleet.getValue(target))
            "<figure><figcaption>Fleet: ${target.label}, last 6 h</figcaption>$svg</figure>"
        }
        return "<p>1.0 (dashed) uses up the error budget of 5 in 100 exactly; 20 is the most.</p>" +
            "<div class=\"charts\">$charts</div>"
    }

    private fun serviceTable(): String = buildString {
        append("<h2>Organisations and models, worst first</h2><table><thead><tr>")
        append("<th rowspan=\"2\">organisation / model</th><th rowspan=\"2\">state</th>")
        val columns = Window.entries.size + 1
        Target.entries.forEach { append("<th colspan=\"$columns\">${it.label}</th>") }
        append("<th rowspan=\"2\">requests 3 d</th></tr><tr>")
        Target.entries.forEach { _ ->
            append("<th>last 6 h</th>")
            Window.entries.forEach { append("<th>${it.label}</th>") }
        }
        append("</tr></thead><tbody>")
        report.services.forEach { append(serviceRow(it)) }
        append("</tbody></table>")
        if (report.services.isEmpty()) append("<p>No answers in the samples.</p>")
    }

    private fun serviceRow(service: ServiceBurn): String = buildString {
        append("<tr><td>${escapeHtml(service.key.toString())}</td>")
        append("<td class=\"${stateStyle(service.state)}\">${service.state.label}</td>")
        val chart = LineChart(SMALL_WIDTH, SMALL_HEIGHT, axes = false)
        Target.entries.forEach { target ->
            val title = "${service.key}: ${target.label}"
            append("<td>${chart.render(title, report.history.ofService(service.key, target))}</td>")
            Window.entries.forEach { window ->
                val burn = service.burn(window, target)
                append("<td class=\"number ${heat(burn)}\">${burnText(burn)}</td>")
            }
        }
        append("<td class=\"number\">${countText(service.total(Window.THREE_DAYS)[Measure.REQUESTS])}</td></tr>")
    }

    private fun refusalTable(): String = buildString {
        append("<h2>Refused although within rate</h2>")
        if (report.refusals.isEmpty()) return append("<p>None.</p>").toString()
        append("<table><thead><tr><th>organisation</th>")
        Window.entries.forEach { append("<th>${it.label}</th>") }
        append("</tr></thead><tbody>")
        report.refusals.forEach { (organisation, counts) ->
            append("<tr><td>${escapeHtml(organisation)}</td>")
            Window.entries.forEach { append("<td class=\"number\">${countText(counts.getValue(it))}</td>") }
            append("</tr>")
        }
        append("</tbody></table>")
    }

    /** Returns the CSS class that colours a burn. */
    private fun heat(burn: Double?): String = when {
        burn == null -> "none"
        burn < 1.0 -> "good"
        burn < HOT_BURN -> "warm"
        else -> "hot"
    }

    private fun stateStyle(state: BurnState): String = when (state) {
        BurnState.OK -> "good"
        BurnState.WATCH, BurnState.OVER_BUDGET -> "warm"
        BurnState.FAST -> "hot"
    }

    private companion object {
        const val HOT_BURN = 6.0
        const val WASTE_LIMIT = 0.01
        const val FLEET_WIDTH = 520
        const val FLEET_HEIGHT = 140
        const val SMALL_WIDTH = 110
        const val SMALL_HEIGHT = 26
        const val STYLE = "body{font:14px system-ui,sans-serif;margin:1.5em;color:#222}" +
            "h1{margin:0}h2{margin-top:1.5em}table{border-collapse:collapse}" +
            "th,td{padding:.25em .6em;border-bottom:1px solid #ddd;text-align:left}" +
            ".number{text-align:right;font-variant-numeric:tabular-nums}" +
            ".tiles,.charts{display:flex;flex-wrap:wrap;gap:1em;margin:1em 0}figure{margin:0}" +
            ".tile{padding:.7em 1em;border-radius:.5em;min-width:9em}" +
            ".tile b{display:block;font-size:1.5em}" +
            ".good{background:#dff2e1}.warm{background:#ffe8b8}.hot{background:#f6b7b0}.none{color:#999}" +
            ".bad{color:#b00020;font-weight:bold}svg{background:#fafafa}" +
            ".burn{stroke:#2456a6;stroke-width:1.5;fill:none}circle.burn{fill:#2456a6}" +
            ".budget{stroke:#b00020;stroke-dasharray:4 3}.grid{stroke:#ddd}svg text{font-size:10px;fill:#777}"
    }
}
