package io.anvilvalve.rules.fleet

/** Tokens that one request was charged from one balance. */
internal sealed interface Charge {
    val amount: Long

    /** From a share of this host, whose history was at [position]. */
    class FromShare(override val amount: Long, val share: OwnedShare, val position: Long) : Charge

    /** From tokens that another host granted. */
    class FromLot(override val amount: Long, val lot: TokenLot) : Charge
}
