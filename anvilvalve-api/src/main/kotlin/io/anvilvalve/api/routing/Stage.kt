package io.anvilvalve.api.routing

/** The part of a request that a model engine serves. */
enum class Stage { PREFILL, DECODE }
