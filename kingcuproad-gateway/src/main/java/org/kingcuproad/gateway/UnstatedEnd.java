package org.kingcuproad.gateway;

/**
 * Orderly end of a stream that its upstream did not state, and that nothing speaks against.
 *
 * @param upstream upstream that ended it
 * @param crashesBefore crashes of the upstream that were known when the request was sent
 * @param status status of the response
 * @param trailingBytes blank lines after the last event
 */
record UnstatedEnd(Upstream upstream, int crashesBefore, int status, byte[] trailingBytes) {

    /** Returns whether a crash or a replacement of the upstream has become known since. */
    boolean contradicted() {
        return upstream.endedSince(crashesBefore);
    }
}
