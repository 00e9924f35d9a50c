package org.kingcuproad.policy.gateway;

/** How a response says where its body ends. */
public enum ResponseFraming {

    /** It states a length. */
    LENGTH,

    /** It is sent in chunks, the last of which is empty. */
    CHUNKS,

    /** It has no body, because of its status or the method of its request. */
    NO_BODY,

    /** It ends with its connection. A response that was cut off ends in the same way. */
    CONNECTION
}
