package io.anvilvalve.host

import io.anvilvalve.settings.HostSettings
import org.apache.logging.log4j.LogManager
import org.apache.logging.log4j.core.LoggerContext
import org.apache.logging.log4j.core.config.Configuration
import org.apache.logging.log4j.core.config.ConfigurationFactory
import org.apache.logging.log4j.core.config.ConfigurationSource
import org.apache.logging.log4j.core.config.Configurator
import java.net.URI

/** Configures Log4j for a host. */
internal object LogSetup {
    /** Applies [output], at the start and after a reload of the settings. */
    fun apply(output: HostSettings.Output) {
        val isFirst = ConfigurationFactory.getInstance() !is HostConfigurationFactory
        ConfigurationFactory.setConfigurationFactory(HostConfigurationFactory(output))
        val context = LogManager.getContext(false) as LoggerContext
        if (!isFirst || context.configuration !is HostLogConfiguration) {
            Configurator.reconfigure(HostLogConfiguration(context, output))
        }
    }

    /** Supplies the first configuration, so that Log4j does not create its default one before. */
    private class HostConfigurationFactory(private val output: HostSettings.Output) : ConfigurationFactory() {
        override fun getSupportedTypes(): Array<String> = emptyArray()

        override fun getConfiguration(context: LoggerContext, source: ConfigurationSource?): Configuration =
            HostLogConfiguration(context, output)

        override fun getConfiguration(context: LoggerContext, name: String?, location: URI?): Configuration =
            HostLogConfiguration(context, output)

        override fun getConfiguration(
            context: LoggerContext,
            name: String?,
            location: URI?,
            loader: ClassLoader?,
        ): Configuration = HostLogConfiguration(context, output)
    }
}
