package io.anvilvalve.cli

import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * What `anvilvalvectl` needs to know of its installation.
 *
 * @property operatorToken bearer token of the hosts' operator listeners.
 * @property operatorAddresses operator listeners as IP number and port; when empty, the live list names the hosts.
 * @property author name that release notes carry when the file names none.
 * @property timeout upper bound on one call.
 */
internal class CtlSettings(
    val logUrl: String,
    val liveListUrl: String,
    val operatorToken: String,
    val operatorAddresses: List<String> = emptyList(),
    val operatorPort: Int = 8_081,
    val author: String = "operator",
    val timeout: Duration = 5.seconds,
)
