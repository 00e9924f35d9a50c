package org.kingcuproad.gateway;

/**
 * What is logged of an upstream's response.
 *
 * @param status its status, 0 if no head was received
 * @param seal its seal, empty if there is none
 * @param framing how it says where it ends, empty if no head was received
 * @param events number of complete events received
 * @param bytes size of what was received of its body, in bytes
 */
record ResponseSummary(int status, String seal, String framing, long events, long bytes) {

    /** No response. */
    static final ResponseSummary NONE = new ResponseSummary(0, "", "", 0, 0);
}
