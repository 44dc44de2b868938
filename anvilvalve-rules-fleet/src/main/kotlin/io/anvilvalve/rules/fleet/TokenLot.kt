package io.anvilvalve.rules.fleet

import io.anvilvalve.api.id.Incarnation
import io.anvilvalve.api.id.OrganisationId
import io.anvilvalve.api.id.TransferId
import io.anvilvalve.api.peer.PeerMessage
import kotlin.time.Duration

/** Tokens of one grant that may be spent until [expires]. */
internal class TokenLot(
    private val id: TransferId,
    private val key: ShareKey,
    val owner: Incarnation,
    val expires: Duration,
    var remaining: Long,
) {
    private var returns = 0

    val organisation: OrganisationId get() = key.organisation

    /** Creates the message that returns [amount] tokens to the owner of the share. */
    fun returnMessage(amount: Long): PeerMessage.TokenReturn {
        val number = returns++
        val transfer = TransferId("${id.value}${OwnedShare.RETURN_SEPARATOR}$number")
        return PeerMessage.TokenReturn(transfer, key.organisation, key.share, amount)
    }
}
