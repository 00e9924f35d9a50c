package org.kingcuproad.policy.gateway;

/** What the bytes of a body show about where it ends, whatever its head says. */
public enum BodyEnd {

    /** There are none. */
    EMPTY,

    /** Something is missing at their end, or bytes of something else follow the body. */
    NOT_WHOLE,

    /** They show nothing. */
    UNKNOWN,

    /** They are a text that shows its own end, see {@link JsonDocument}. */
    WHOLE;

    /**
     * Returns what the bytes of a body show.
     *
     * @param body the bytes
     * @param contentType value of the Content-Type header, empty if there is none
     * @param requestIdHeader name of the header that tells which request a response answers
     * @return what they show about the end of the body
     */
    public static BodyEnd of(byte[] body, String contentType, String requestIdHeader) {
        if (body.length == 0) {
            return EMPTY;
        }
        BodyEnd ofText = JsonDocument.isMediaType(contentType) ? JsonDocument.end(body) : UNKNOWN;
        return ofText == UNKNOWN && TrailingResponse.isIn(body, requestIdHeader) ? NOT_WHOLE : ofText;
    }
}
