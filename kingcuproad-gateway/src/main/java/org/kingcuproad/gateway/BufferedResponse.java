package org.kingcuproad.gateway;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpResponse;
import org.kingcuproad.policy.gateway.JsonDocument;

/**
 * A complete response of an upstream that has been buffered and not yet forwarded.
 *
 * @param head status and headers
 * @param body the body bytes; must not be modified
 */
@SuppressWarnings("ArrayRecordComponent")
record BufferedResponse(HttpResponse head, byte[] body) {

    /** Returns whether the body shows its own end. */
    boolean isWholeDocument() {
        return JsonDocument.isMediaType(head.headers().get(HttpHeaderNames.CONTENT_TYPE, ""))
                && JsonDocument.isWhole(body);
    }
}
