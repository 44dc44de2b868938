package io.anvilvalve.rules.routing

import io.anvilvalve.api.id.BackendServerId
import io.anvilvalve.api.log.Member

/** Capacity at [server] that the coordinator [from] granted under the number [grant], in answer to question [question]. */
internal class GrantedCapacity(val from: Member, val question: Long, val grant: Long, val server: BackendServerId)
