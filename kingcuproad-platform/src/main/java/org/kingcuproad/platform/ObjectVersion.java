package org.kingcuproad.platform;

/**
 * An object in a list, without its value.
 *
 * @param key key of the object
 * @param version version of the object
 */
public record ObjectVersion(String key, long version) {}
