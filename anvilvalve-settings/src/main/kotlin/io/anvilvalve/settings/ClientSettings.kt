package io.anvilvalve.settings

import arrow.core.Either
import java.nio.file.Path
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * Settings of the operator client `anvilvalvectl`; the defaults are the default arguments here.
 *
 * @property operatorTokenFile file with the bearer token of the operators' API.
 * @property operatorAddresses operators' listeners as `ip:port`; when empty, the live list and [operatorPort] name them.
 * @property author name that release notes carry.
 * @property timeout upper bound on one call.
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
        /** Reads [path]; the left side lists every fault. */
        fun load(path: Path): Either<List<SettingsFault>, ClientSettings> =
            readDocument(path) { document, directory -> SettingsCollector(document, directory).clientSettings() }
    }
}
