package io.anvilvalve.api.port

import io.anvilvalve.api.id.ModelId
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** Load of a backend server when it wrote the report; [ageMillis] is the report's age when the server answers. */
@Serializable
data class LoadReport(
    val sequence: Long,
    val running: Int,
    val waiting: Int,
    @SerialName("kv_pieces_free") val kvPiecesFree: Int,
    @SerialName("kv_pieces_total") val kvPiecesTotal: Int,
    val models: List<ModelId>,
    val leaving: Boolean = false,
    @SerialName("age_ms") val ageMillis: Long = 0,
)
