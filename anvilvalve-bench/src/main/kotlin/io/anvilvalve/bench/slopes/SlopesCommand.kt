package io.anvilvalve.bench.slopes

import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.core.Context
import com.github.ajalt.clikt.parameters.arguments.argument
import com.github.ajalt.clikt.parameters.arguments.multiple
import com.github.ajalt.clikt.parameters.options.flag
import com.github.ajalt.clikt.parameters.options.option
import kotlinx.serialization.json.add
import kotlinx.serialization.json.addJsonArray
import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.put
import kotlinx.serialization.json.putJsonArray

/** `anvilvalve-bench slopes`: measures the control-plane costs on which `docs/CAPACITY.md` is based. */
internal class SlopesCommand : CliktCommand(name = "slopes") {
    private val only by argument(help = "Names of measurements; all when none is given.").multiple()
    private val json by option("--json", help = "One JSON object per line.").flag()

    override fun help(context: Context): String =
        "Measures the control-plane cost per organisation, host, server and request."

    override fun run() = (Slopes().all + RoutingSlopes().all).filterKeys {
        only.isEmpty() || it in only
    }.values.forEach { measure ->
        val slope = measure()
        echo(if (json) toJson(slope) else toText(slope))
    }

    private fun toText(s: Slope): String {
        val points = s.points.joinToString { (x, y) -> "%.0f: %.1f".format(x, y) }
        return "%-28s %12.3f %s per %s, base %.1f (%s)".format(s.name, s.slope, s.unit, s.per, s.base, points)
    }

    private fun toJson(s: Slope): String = buildJsonObject {
        put("slope", s.name)
        put("value", s.slope)
        put("base", s.base)
        put("unit", s.unit)
        put("per", s.per)
        putJsonArray("points") {
            s.points.forEach { (x, y) ->
                addJsonArray {
                    add(x)
                    add(y)
                }
            }
        }
    }.toString()
}
