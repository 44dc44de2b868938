package io.anvilvalve.standins.http

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

@Serializable
internal class AppendRequest(val records: List<String>)

@Serializable
internal class AppendResponse(@SerialName("first_offset") val firstOffset: Long)

@Serializable
internal class ReadRecord(val offset: Long, val data: String)

@Serializable
internal class ReadResponse(
    @SerialName("first_retained") val firstRetained: Long,
    val end: Long,
    val records: List<ReadRecord>,
)
