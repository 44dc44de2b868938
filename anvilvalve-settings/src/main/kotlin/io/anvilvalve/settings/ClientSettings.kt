package io.anvilvalve.settings

import arrow.core.Either
import java.nio.file.Path
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * Settings of the operator client `anvilvalvectl`; the default arguments apply to settings that the file omits.
 *
 * @property operatorTokenFile file with the bearer token of the operators' API.
 * @property operatorAddresses operators' listeners as `ip:port`; if empty, the live list and [operatorPort] are used.
 * @property author author recorded in release notes.
 * @property timeout upper bound on the duration of one call.
 */
data class ClientSettings(
    val logUrl: String,
    val liveListUrl: String,
    val operatorTokenFile: Path,
    val operatorAddresses: List<String> = emptyList(),
    val operatorPort: Int = 8_081,
    val author: String = "operator",
    val timeout: Duration = 5_000.milliseconds,
) {
    companion object {
        /** Reads the INI file at [path]; the left side lists every fault. */
        fun load(path: Path): Either<List<SettingsFault>, ClientSettings> =
            readDocument(path) { document, directory -> SettingsCollector(document, directory).clientSettings() }
    }
}
