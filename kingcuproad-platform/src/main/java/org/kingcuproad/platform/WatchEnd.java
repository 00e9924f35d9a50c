package org.kingcuproad.platform;

/** Why a watch ended. */
public sealed interface WatchEnd {

    /**
     * The connection broke or was silent for too long. A new watch from the last version misses nothing.
     *
     * @param detail what went wrong
     */
    record Disconnected(String detail) implements WatchEnd {}

    /** The store no longer has all changes since the version. List the objects, then watch from the list's version. */
    record HistoryLost() implements WatchEnd {}
}
