package org.kingcuproad.platform;

/** An object of the store as it was read. */
public final class StoredObject {

    private final String key;
    private final long version;
    private final byte[] value;

    /**
     * Creates an object.
     *
     * @param key key of the object
     * @param version store-wide increasing number of the write that made this value
     * @param value the bytes, which must not be changed afterwards
     */
    public StoredObject(String key, long version, byte[] value) {
        this.key = key;
        this.version = version;
        this.value = value;
    }

    /**
     * Returns the key.
     *
     * @return key of the object
     */
    public String key() {
        return key;
    }

    /**
     * Returns the version.
     *
     * @return store-wide increasing number of the write that made this value
     */
    public long version() {
        return version;
    }

    /**
     * Returns the value.
     *
     * @return the bytes, which must not be changed
     */
    public byte[] value() {
        return value;
    }

    /**
     * Returns key, version and size.
     *
     * @return a text for logs
     */
    @Override
    public String toString() {
        return key + "@" + version + " (" + value.length + " bytes)";
    }
}
