package io.anvilvalve.rules.routing

import io.anvilvalve.api.peer.PlacementMessage
import kotlin.math.roundToInt
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * Decision to refuse a request for lack of capacity.
 *
 * @property wait expected time until there is capacity for the caller.
 * @property reason null if the request is refused for another reason than a lack of capacity.
 * @property share part of the recently placed work that was for its organisation, between 0 and 1; null if unknown.
 */
internal class Refusal(val wait: Duration, val reason: RefusalReason? = null, val share: Double? = null) {
    /** The answer to the host that asked about the request [number]. */
    fun toMessage(number: Long) = PlacementMessage.Refused(
        number,
        wait.inWholeMilliseconds,
        reason?.text,
        share?.let { (it * PERMILLE).roundToInt() },
    )

    companion object {
        private const val PERMILLE = 1_000.0

        /** The decision that a coordinator has sent; a reason that this version does not know is left out. */
        fun of(message: PlacementMessage.Refused) = Refusal(
            message.waitMillis.milliseconds,
            RefusalReason.entries.firstOrNull { it.text == message.reason },
            message.sharePermille?.let { it / PERMILLE },
        )
    }
}
