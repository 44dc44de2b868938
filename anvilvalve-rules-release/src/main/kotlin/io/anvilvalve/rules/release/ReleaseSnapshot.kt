package io.anvilvalve.rules.release

import io.anvilvalve.api.id.ClaimId
import io.anvilvalve.api.id.KeyHash
import io.anvilvalve.api.id.NoteId
import io.anvilvalve.api.release.Release
import kotlinx.serialization.Serializable

/**
 * State of the release rules as of a log offset.
 *
 * @property release result of the accepted notes; withdrawn keys are not in it.
 * @property withdrawnKeys withdrawals that the log has.
 * @property heardWithdrawals withdrawals that the writer heard of from peers or operators and that the log lacks.
 * @property appliedNotes ids of the last accepted notes, oldest first.
 * @property rejectedNotes ids of the last rejected notes, oldest first.
 * @property claims claims that won, with their replies.
 * @property abandonedClaims claims that can never win, with their age in milliseconds.
 * @property orderLease newest lease to issue engine orders.
 */
@Serializable
data class ReleaseSnapshot(
    val release: Release = Release(),
    val withdrawnKeys: Set<KeyHash> = emptySet(),
    val appliedNotes: List<NoteId> = emptyList(),
    val rejectedNotes: List<NoteId> = emptyList(),
    val claims: List<KeptClaim> = emptyList(),
    val abandonedClaims: Map<ClaimId, Long> = emptyMap(),
    val orderLease: KeptLease? = null,
    val heardWithdrawals: Set<KeyHash> = emptySet(),
)
