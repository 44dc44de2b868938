package io.anvilvalve.cli

import kotlinx.serialization.json.Json

/** JSON of release note files and of the output; unknown fields of notes are refused because they are typing errors. */
internal object CliJson {
    val format: Json = Json {
        prettyPrint = true
        encodeDefaults = true
        explicitNulls = false
    }

    /** JSON of the hosts' operator interface, to which later versions may add fields. */
    val lenient: Json = Json { ignoreUnknownKeys = true }
}
