package org.kingcuproad.gateway;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import java.util.List;
import java.util.Locale;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.kingcuproad.policy.gateway.StreamEvent;
import org.kingcuproad.runtime.http.HopHeaders;

/** Makes the messages that are passed on: without the headers that concern only one connection. */
final class Forwarding {

    /** The gateway answers the expectation itself and sends whole requests. */
    private static final String EXPECT = "expect";

    /** Least urgent value that upstreams know. */
    private static final int MAX_URGENCY = 9;

    private Forwarding() {}

    /**
     * Makes the request for an upstream.
     *
     * @param leftMs how long the client will still wait, in milliseconds
     */
    static FullHttpRequest request(Exchange exchange, HeaderNames names, String upstreamId, long leftMs) {
        HttpRequest head = exchange.head();
        ByteBuf body = exchange.body();
        HttpHeaders headers = withoutHopHeaders(head.headers());
        headers.remove(HttpHeaderNames.CONTENT_LENGTH);
        headers.remove(names.key());
        headers.remove(names.workspace());
        headers.set(names.expectedUpstream(), upstreamId);
        headers.set(names.deadlineMs(), Math.max(1, leftMs));
        headers.set(names.urgency(), Math.clamp(exchange.priority(), 0, MAX_URGENCY));
        if (exchange.workspace() != null) {
            headers.set(names.workspace(), exchange.workspace());
        }
        if (exchange.lastEventId() != StreamEvent.NO_ID) {
            headers.set(names.lastEventId(), exchange.lastEventId());
        }
        boolean bodyExpected =
                !head.method().equals(HttpMethod.GET) && !head.method().equals(HttpMethod.HEAD);
        if (body.isReadable() || bodyExpected) {
            headers.set(HttpHeaderNames.CONTENT_LENGTH, body.readableBytes());
        }
        return new DefaultFullHttpRequest(
                HttpVersion.HTTP_1_1,
                head.method(),
                head.uri(),
                body.retainedDuplicate(),
                headers,
                new DefaultHttpHeaders());
    }

    /** Makes a whole answer for a client. */
    static HttpResponse whole(HeldAnswer answer, boolean headRequest) {
        HttpHeaders headers = withoutHopHeaders(answer.head().headers());
        if (!headRequest) {
            headers.set(HttpHeaderNames.CONTENT_LENGTH, answer.body().length);
        }
        return new DefaultFullHttpResponse(
                HttpVersion.HTTP_1_1,
                answer.head().status(),
                Unpooled.wrappedBuffer(answer.body()),
                headers,
                new DefaultHttpHeaders());
    }

    /** Makes the head of an answer that is passed on as it arrives. */
    static HttpResponse streamedHead(HttpResponse response) {
        HttpHeaders headers = withoutHopHeaders(response.headers());
        HttpResponse head = new DefaultHttpResponse(HttpVersion.HTTP_1_1, response.status(), headers);
        if (!HttpUtil.isContentLengthSet(head)) {
            HttpUtil.setTransferEncodingChunked(head, true);
        }
        return head;
    }

    private static HttpHeaders withoutHopHeaders(HttpHeaders headers) {
        Set<String> named = headers.getAll(HttpHeaderNames.CONNECTION).stream()
                .flatMap(value -> Stream.of(value.split(",")))
                .map(name -> name.strip().toLowerCase(Locale.ROOT))
                .collect(Collectors.toSet());
        HttpHeaders kept = headers.copy();
        List.copyOf(headers.names()).stream()
                .filter(name -> HopHeaders.contains(name)
                        || EXPECT.equalsIgnoreCase(name)
                        || named.contains(name.toLowerCase(Locale.ROOT)))
                .forEach(kept::remove);
        return kept;
    }
}
