package io.anvilvalve.rules.fleet

/** Tokens charged to one request from one share or one granted lot. */
internal sealed interface Charge {
    val amount: Long

    /** Charge to a share of this host; [position] is [OwnedShare.position] just after the charge. */
    class FromShare(override val amount: Long, val share: OwnedShare, val position: Long) : Charge

    /** Charge to tokens that another host granted. */
    class FromLot(override val amount: Long, val lot: TokenLot) : Charge
}
