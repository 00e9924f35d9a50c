package org.kingcuproad.platform;

/** What became of reading an object. */
public sealed interface ReadResult {

    /**
     * The object exists.
     *
     * @param object the object
     */
    record Found(StoredObject object) implements ReadResult {}

    /** No object has the key. */
    record Absent() implements ReadResult {}

    /**
     * The store did not answer.
     *
     * @param detail what went wrong
     */
    record Unavailable(String detail) implements ReadResult {}
}
