package org.kingcuproad.gateway;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponse;
import org.kingcuproad.policy.gateway.ResponseHead;

/** Reads from responses what decides whether they answer a request. */
final class ResponseHeads {

    private ResponseHeads() {}

    static ResponseHead of(HttpResponse response, HeaderNames names) {
        HttpHeaders headers = response.headers();
        return new ResponseHead(
                response.status().code(),
                headers.getAll(names.requestId()),
                headers.getAll(names.seal()),
                headers.getAll(HttpHeaderNames.TRANSFER_ENCODING),
                headers.getAll(HttpHeaderNames.CONTENT_LENGTH),
                headers.getAll(HttpHeaderNames.CONTENT_ENCODING));
    }
}
