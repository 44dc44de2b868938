package io.anvilvalve.api.routing

/** Kinds of state in the platform's store. */
enum class StateTopic {
    /** The configuration of the operators. */
    CONFIGURATION,

    /** Entries of the backend servers. */
    DIRECTORY,

    /** Entries of the hosts themselves. */
    HOSTS,

    /** Usage of organisations near their quota, which hosts restore when all of them start at once. */
    USAGE,
}
