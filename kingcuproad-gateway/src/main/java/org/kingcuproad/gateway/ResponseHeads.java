package org.kingcuproad.gateway;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponse;
import java.util.List;
import org.kingcuproad.policy.gateway.ResponseHead;

/** Reads from responses what decides whether they answer a request. */
final class ResponseHeads {

    private ResponseHeads() {}

    static ResponseHead of(HttpResponse response, HeaderNames names) {
        HttpHeaders headers = response.headers();
        return of(response, headers.getAll(names.requestId()), headers.getAll(names.seal()));
    }

    /** Reads the head of a response to a call that carries no id. */
    static ResponseHead withoutIds(HttpResponse response) {
        return of(response, List.of(), List.of());
    }

    private static ResponseHead of(HttpResponse response, List<String> requestIds, List<String> seals) {
        HttpHeaders headers = response.headers();
        return new ResponseHead(
                response.status().code(),
                requestIds,
                seals,
                headers.getAll(HttpHeaderNames.TRANSFER_ENCODING),
                headers.getAll(HttpHeaderNames.CONTENT_LENGTH),
                headers.getAll(HttpHeaderNames.CONTENT_ENCODING));
    }
}
