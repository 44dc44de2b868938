package io.anvilvalve.api.routing

/** Kinds of state in the platform's store. */
enum class StateTopic {
    /** The configuration of the operators. */
    CONFIGURATION,

    /** Entries of the backend servers. */
    DIRECTORY,

    /** Entries of the hosts themselves. */
    HOSTS,

    /** What hosts admitted of organisations near their quota, for a start of all hosts at once. */
    USAGE,
}
