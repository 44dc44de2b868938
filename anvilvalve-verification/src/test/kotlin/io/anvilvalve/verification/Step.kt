package io.anvilvalve.verification

import io.anvilvalve.api.log.LogRecord
import io.anvilvalve.api.peer.PeerMessage
import io.anvilvalve.api.result.LogEvent
import io.anvilvalve.core.HostEffect

/**
 * Steps of a request, a release note, a claim, a token transfer and an order, recognised by the effects of a host.
 *
 * @property atStart whether the step also occurs before the traffic, so that faults are injected from the start on.
 */
internal enum class Step(val atStart: Boolean = false, val matches: (HostEffect) -> Boolean) {
    HOST_JOINED(atStart = true, matches = { it.appends<LogRecord.HostJoined>() }),
    SLOTS_ASSIGNED(atStart = true, matches = { it.appends<LogRecord.SlotsAssigned>() }),
    ORDER_LEASED(atStart = true, matches = { it.appends<LogRecord.OrderLease>() }),
    NOTE_PUBLISHED(atStart = true, matches = { it is HostEffect.Log && it.event == LogEvent.RELEASE_APPLIED }),
    TOKENS_ASKED(matches = { it.sends<PeerMessage.TokenRequest>() }),
    TOKENS_GRANTED(matches = { it.sends<PeerMessage.TokenGrant>() }),
    SUBMITTED(matches = { it.sends<PeerMessage.Submit>() }),
    PLACED(matches = { it.sends<PeerMessage.Placement>() }),
    PREFILL_STARTED(matches = { it is HostEffect.StartPrefill }),
    DECODE_STARTED(matches = { it is HostEffect.StartDecode }),
    STREAM_PROGRESSED(matches = { it.sends<PeerMessage.WorkProgress>() }),
    ANSWER_FINISHED(matches = { it is HostEffect.FinishAnswer }),
    RELEASE_IN_FORCE(matches = { it is HostEffect.StatusChanged && it.status.release.value >= 2 }),
    CLAIM_APPENDED(matches = { it.appends<LogRecord.Claims>() }),
    CALL_SENT(matches = { it is HostEffect.CallService }),
    OUTCOME_APPENDED(matches = { it.appends<LogRecord.ClaimOutcome>() }),
    CALL_ANSWERED(matches = { it is HostEffect.ReplyService }),
    ORDER_SENT(matches = { it is HostEffect.SendOrder }),
    ORDER_DONE(matches = { it.appends<LogRecord.OrderDone>() }),
}

private inline fun <reified T : PeerMessage> HostEffect.sends(): Boolean =
    this is HostEffect.SendFrame && frame.message is T

private inline fun <reified T : LogRecord> HostEffect.appends(): Boolean =
    this is HostEffect.AppendToLog && records.any { it is T }
