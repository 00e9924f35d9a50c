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

/** Creates the requests and responses that are forwarded, without hop-by-hop headers. */
final class ForwardedMessages {

    /** Not forwarded: the gateway answers {@code Expect: 100-continue} itself and sends only complete requests. */
    private static final String EXPECT = "expect";

    /** Lowest urgency that upstreams accept. */
    private static final int MAX_URGENCY = 9;

    private ForwardedMessages() {}

    /**
     * Creates the request that is sent to an upstream.
     *
     * @param remainingMs time that the client will still wait, in milliseconds
     */
    static FullHttpRequest request(Exchange exchange, HeaderNames names, String upstreamId, long remainingMs) {
        HttpRequest head = exchange.head();
        ByteBuf body = exchange.body();
        HttpHeaders headers = withoutHopByHopHeaders(head.headers());
        headers.remove(HttpHeaderNames.CONTENT_LENGTH);
        headers.remove(names.key());
        headers.remove(names.workspace());
        headers.set(names.expectedUpstream(), HeaderText.encode(upstreamId).orElseThrow());
        headers.set(names.deadlineMs(), Math.max(1, remainingMs));
        headers.set(names.urgency(), Math.clamp(exchange.priority(), 0, MAX_URGENCY));
        if (exchange.workspace() != null) {
            headers.set(
                    names.workspace(), HeaderText.encode(exchange.workspace()).orElseThrow());
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

    /** Creates a complete response for a client. */
    static HttpResponse completeResponse(BufferedResponse buffered, boolean headRequest) {
        HttpHeaders headers = withoutHopByHopHeaders(buffered.head().headers());
        if (!headRequest) {
            headers.set(HttpHeaderNames.CONTENT_LENGTH, buffered.body().length);
        }
        return new DefaultFullHttpResponse(
                HttpVersion.HTTP_1_1,
                buffered.head().status(),
                Unpooled.wrappedBuffer(buffered.body()),
                headers,
                new DefaultHttpHeaders());
    }

    /**
     * Creates the head of an event stream. It states no length, because another upstream may resume the stream with
     * events of other sizes.
     */
    static HttpResponse eventStreamHead(HttpResponse response) {
        HttpResponse head = streamedHead(response);
        head.headers().remove(HttpHeaderNames.CONTENT_LENGTH);
        HttpUtil.setTransferEncodingChunked(head, true);
        return head;
    }

    /** Creates the head of a response that is forwarded as it arrives. */
    static HttpResponse streamedHead(HttpResponse response) {
        HttpHeaders headers = withoutHopByHopHeaders(response.headers());
        HttpResponse head = new DefaultHttpResponse(HttpVersion.HTTP_1_1, response.status(), headers);
        if (!HttpUtil.isContentLengthSet(head)) {
            HttpUtil.setTransferEncodingChunked(head, true);
        }
        return head;
    }

    private static HttpHeaders withoutHopByHopHeaders(HttpHeaders headers) {
        Set<String> connectionOptions = headers.getAll(HttpHeaderNames.CONNECTION).stream()
                .flatMap(value -> Stream.of(value.split(",")))
                .map(name -> name.strip().toLowerCase(Locale.ROOT))
                .collect(Collectors.toSet());
        HttpHeaders kept = headers.copy();
        List.copyOf(headers.names()).stream()
                .filter(name -> HopHeaders.contains(name)
                        || EXPECT.equalsIgnoreCase(name)
                        || connectionOptions.contains(name.toLowerCase(Locale.ROOT)))
                .forEach(kept::remove);
        return kept;
    }
}
