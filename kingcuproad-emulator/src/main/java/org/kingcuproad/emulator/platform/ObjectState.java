package org.kingcuproad.emulator.platform;

import java.util.Optional;

/**
 * An object after a write.
 *
 * @param key key of the object
 * @param version store-wide number of the write
 * @param value the bytes, or empty if the write deleted the object
 */
record ObjectState(String key, long version, Optional<byte[]> value) {}
