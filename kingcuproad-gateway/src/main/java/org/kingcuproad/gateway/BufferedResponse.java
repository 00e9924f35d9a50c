package org.kingcuproad.gateway;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpResponse;
import org.kingcuproad.policy.gateway.BodyEnd;

/**
 * A complete response of an upstream that has been buffered and not yet forwarded.
 *
 * @param head status and headers
 * @param body the body bytes; must not be modified
 */
@SuppressWarnings("ArrayRecordComponent")
record BufferedResponse(HttpResponse head, byte[] body) {

    /**
     * Returns what the body shows about its own end.
     *
     * @param requestIdHeader name of the header that tells which request a response answers
     */
    BodyEnd bodyEnd(String requestIdHeader) {
        return BodyEnd.of(body, head.headers().get(HttpHeaderNames.CONTENT_TYPE, ""), requestIdHeader);
    }
}
