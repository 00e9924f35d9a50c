package org.kingcuproad.platform;

/** A message of a watch, in the order of versions. */
public sealed interface WatchEvent {

    /**
     * Returns the version up to which the watch is complete.
     *
     * @return a version from which a later watch may go on
     */
    long version();

    /**
     * An object was created or updated.
     *
     * @param object the object; values between two events may be skipped
     */
    record Changed(StoredObject object) implements WatchEvent {

        @Override
        public long version() {
            return object.version();
        }
    }

    /**
     * An object was deleted.
     *
     * @param key key of the object
     * @param version version of the deletion
     */
    record Deleted(String key, long version) implements WatchEvent {}

    /**
     * All changes up to a version were sent. Bookmarks also show that the connection is alive.
     *
     * @param version the version
     */
    record Bookmark(long version) implements WatchEvent {}
}
