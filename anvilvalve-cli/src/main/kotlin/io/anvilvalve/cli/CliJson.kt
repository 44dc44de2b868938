package io.anvilvalve.cli

import kotlinx.serialization.json.Json

/** JSON formats of the client. */
internal object CliJson {
    /** Release note files and command output. Unknown fields are rejected, because in a note they are typing errors. */
    val format: Json = Json {
        prettyPrint = true
        encodeDefaults = true
        explicitNulls = false
    }

    /** Responses of the hosts' operator API. Unknown fields are ignored, because later versions may add some. */
    val lenient: Json = Json { ignoreUnknownKeys = true }
}
