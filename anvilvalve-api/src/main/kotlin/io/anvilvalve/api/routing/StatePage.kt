package io.anvilvalve.api.routing

/**
 * Records of a topic.
 *
 * @property complete whether [entries] contains every existing key, so that all other keys have been removed.
 * @property next position from which to continue reading.
 */
class StatePage(val entries: List<StoredEntry>, val next: StorePosition, val complete: Boolean)
