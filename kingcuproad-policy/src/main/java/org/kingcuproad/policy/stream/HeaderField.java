package org.kingcuproad.policy.stream;

/**
 * One header field of a response.
 *
 * @param name name of the field
 * @param value value of the field
 */
public record HeaderField(String name, String value) {}
