package io.anvilvalve.verification

import io.anvilvalve.api.log.LogRecord
import io.anvilvalve.api.peer.PeerMessage
import io.anvilvalve.core.HostEffect

/** Steps of a request, a release note, a claim, a token transfer and an order, seen in the effects of a host. */
internal enum class Step(val matches: (HostEffect) -> Boolean) {
    TOKENS_ASKED({ it.sends<PeerMessage.TokenRequest>() }),
    TOKENS_GRANTED({ it.sends<PeerMessage.TokenGrant>() }),
    SUBMITTED({ it.sends<PeerMessage.Submit>() }),
    PLACED({ it.sends<PeerMessage.Placement>() }),
    PREFILL_STARTED({ it is HostEffect.StartPrefill }),
    DECODE_STARTED({ it is HostEffect.StartDecode }),
    STREAM_PROGRESSED({ it.sends<PeerMessage.WorkProgress>() }),
    ANSWER_FINISHED({ it is HostEffect.FinishAnswer }),
    RELEASE_IN_FORCE({ it is HostEffect.StatusChanged && it.status.release.value >= 2 }),
    CLAIM_APPENDED({ it.appends<LogRecord.Claims>() }),
    CALL_SENT({ it is HostEffect.CallService }),
    OUTCOME_APPENDED({ it.appends<LogRecord.ClaimOutcome>() }),
    CALL_ANSWERED({ it is HostEffect.ReplyService }),
    ORDER_LEASED({ it.appends<LogRecord.OrderLease>() }),
    ORDER_SENT({ it is HostEffect.SendOrder }),
    ORDER_DONE({ it.appends<LogRecord.OrderDone>() }),
}

private inline fun <reified T : PeerMessage> HostEffect.sends(): Boolean =
    this is HostEffect.SendFrame && frame.message is T

private inline fun <reified T : LogRecord> HostEffect.appends(): Boolean =
    this is HostEffect.AppendToLog && records.any { it is T }
