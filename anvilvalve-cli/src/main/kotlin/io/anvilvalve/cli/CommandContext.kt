package io.anvilvalve.cli

import io.anvilvalve.api.port.LiveHostList
import io.anvilvalve.api.port.LogService

/** Clients and settings that the commands use; tests pass stand-ins. */
internal class CommandContext(
    val log: LogService,
    val operators: OperatorApi,
    val operatorAddresses: List<String>,
    val liveList: LiveHostList? = null,
    val operatorPort: Int = 8_081,
    val author: String = "operator",
) {
    val hosts: HostActions get() = HostActions(log, HostDirectory(operatorAddresses, liveList, operatorPort), operators)
}
