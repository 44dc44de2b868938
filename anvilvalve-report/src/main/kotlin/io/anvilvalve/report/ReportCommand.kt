package io.anvilvalve.report

import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.core.Context
import com.github.ajalt.clikt.core.subcommands
import com.github.ajalt.clikt.parameters.options.default
import com.github.ajalt.clikt.parameters.options.multiple
import com.github.ajalt.clikt.parameters.options.option
import com.github.ajalt.clikt.parameters.options.required
import com.github.ajalt.clikt.parameters.types.int
import com.github.ajalt.clikt.parameters.types.path
import kotlin.io.path.readText
import kotlin.io.path.writeText
import kotlin.time.Duration.Companion.days
import kotlin.time.Duration.Companion.seconds

/** Root command of `anvilvalve-report`. */
internal class ReportCommand : CliktCommand(name = "anvilvalve-report") {
    override fun help(context: Context): String = "Collects metrics of the hosts and reports service-level burn."

    override fun run() = Unit

    companion object {
        fun withSubcommands(): CliktCommand = ReportCommand().subcommands(ScrapeCommand(), ShowCommand())
    }
}

private class ScrapeCommand : CliktCommand(name = "scrape") {
    private val samples by option(help = "JSON-lines file to which samples are appended").path().required()
    private val host by option(help = "host address, such as 10.0.0.1:8080; may be repeated")
        .multiple(required = true)
    private val tokenFile by option(help = "file with the operators' token").path(mustExist = true)
    private val interval by option(help = "seconds between scrapes").int().default(DEFAULT_INTERVAL_SECONDS)
    private val count by option(help = "number of scrapes; 0 for no limit").int().default(1)

    override fun help(context: Context): String = "Appends samples of the hosts' metrics to a file."

    override fun run() {
        val file = SampleFile(samples)
        val scraper = Scraper(tokenFile?.readText()?.trim())
        file.prune(System.currentTimeMillis() - RETENTION.inWholeMilliseconds)
        var completed = 0
        while (true) {
            val newSamples = scraper.scrape(host, System.currentTimeMillis())
            file.append(newSamples)
            newSamples.filter { it.counters == null }.forEach { echo("not reachable: ${it.host}", err = true) }
            if (++completed == count) return
            Thread.sleep(interval.seconds.inWholeMilliseconds)
        }
    }

    private companion object {
        const val DEFAULT_INTERVAL_SECONDS = 30

        /** Longest report window (three days) plus one day, so that the window is complete throughout the last day. */
        val RETENTION = 4.days
    }
}

private class ShowCommand : CliktCommand(name = "show") {
    private val samples by option(help = "JSON-lines file of samples").path(mustExist = true).required()
    private val html by option(help = "file to write the report to as one HTML page").path()

    override fun help(context: Context): String = "Prints the burn report and, if asked, also writes it as HTML."

    override fun run() {
        val report = BurnReport.of(SampleFile(samples).read(), System.currentTimeMillis())
        echo(TextReport(report).render(), trailingNewline = false)
        html?.writeText(HtmlReport(report).render())
    }
}
