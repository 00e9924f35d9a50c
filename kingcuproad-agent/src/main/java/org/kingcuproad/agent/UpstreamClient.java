package org.kingcuproad.agent;

import io.netty.channel.EventLoopGroup;
import io.netty.handler.codec.http.HttpHeaderNames;
import java.io.IOException;
import java.time.Duration;
import java.util.Set;
import org.asynchttpclient.AsyncHttpClient;
import org.asynchttpclient.DefaultAsyncHttpClient;
import org.asynchttpclient.DefaultAsyncHttpClientConfig;
import org.asynchttpclient.RequestBuilder;
import org.kingcuproad.policy.gateway.ExpectedResponse;
import org.kingcuproad.runtime.trace.Tracing;
import org.kingcuproad.wire.proto.Dispatch;

/** HTTP client of the local upstream. Each request has a connection of its own, which is closed after the response. */
final class UpstreamClient {

    private static final String REQUEST_ID = "X-Request-Id";

    /** Control requests carry no id. */
    private static final String NO_REQUEST_ID = "";

    // The run enforces the deadline and the idle timeout. A negative value disables the timeout; the client treats zero
    // as an immediate timeout.
    private static final Duration NO_TIMEOUT = Duration.ofMillis(-1);

    private static final Duration CONTROL_TIMEOUT = Duration.ofSeconds(2);

    /** Maximum size of a control response, which is buffered; an engine in trouble may send one without end. */
    private static final long MAX_CONTROL_BODY_BYTES = 4 << 20;

    /** Responses to callers are not limited in size; their buffer pauses reading. */
    private static final long UNLIMITED_BYTES = Long.MAX_VALUE;

    private final AsyncHttpClient client;
    private final String baseUrl;

    UpstreamClient(EventLoopGroup eventLoops, String baseUrl, AgentTiming timing) {
        this.baseUrl = baseUrl;
        this.client = new DefaultAsyncHttpClient(new DefaultAsyncHttpClientConfig.Builder()
                .setEventLoopGroup(eventLoops)
                .setConnectTimeout(Duration.ofMillis(timing.connectLimitMs()))
                .setRequestTimeout(NO_TIMEOUT)
                .setReadTimeout(NO_TIMEOUT)
                // Upstreams need not name the request that they answer, so only the connection can tell. The client
                // also
                // discards what arrives between two requests, so a late copy could not be seen.
                .setKeepAliveStrategy((address, request, sent, response) -> false)
                // A retry by the client could execute a request twice, so every failure is reported to the run.
                .setMaxRequestRetry(0)
                .setFollowRedirect(false)
                .setEnableAutomaticDecompression(false)
                .setCookieStore(null)
                .setTcpNoDelay(true)
                .setHttpAdditionalChannelInitializer(
                        channel -> channel.pipeline().addFirst(new ReadPauseHandler(), new ResponseHeadHandler()))
                .build());
    }

    UpstreamCall send(Dispatch dispatch, String traceparent, UpstreamListener listener) {
        RequestBuilder request = new RequestBuilder(dispatch.getMethod(), true).setUrl(baseUrl + dispatch.getPath());
        dispatch.getHeadersList().stream()
                .filter(header -> !UnforwardedHeaders.contains(header.getName()))
                .forEach(header -> request.addHeader(header.getName(), header.getValue()));
        request.setHeader(REQUEST_ID, dispatch.getRequestId());
        if (!traceparent.isEmpty()) {
            request.setHeader(Tracing.TRACEPARENT, traceparent);
        }
        if (!dispatch.getBody().isEmpty()) {
            request.setBody(dispatch.getBody().toByteArray());
        }
        UpstreamHandler handler =
                new UpstreamHandler(listener, expected(dispatch.getMethod(), dispatch.getRequestId()), UNLIMITED_BYTES);
        client.executeRequest(request.build(), handler);
        return handler;
    }

    /** Sends a control request to an engine; unlike a request of a caller, it has a fixed timeout. */
    void sendControl(String method, String path, byte[] body, UpstreamListener listener) {
        RequestBuilder request =
                new RequestBuilder(method, true).setUrl(baseUrl + path).setRequestTimeout(CONTROL_TIMEOUT);
        if (body.length > 0) {
            request.setHeader(HttpHeaderNames.CONTENT_TYPE, "application/json").setBody(body);
        }
        client.executeRequest(
                request.build(),
                new UpstreamHandler(listener, expected(method, NO_REQUEST_ID), MAX_CONTROL_BODY_BYTES));
    }

    private static ExpectedResponse expected(String method, String requestId) {
        return new ExpectedResponse(requestId, method.equals("HEAD"), Set.of());
    }

    void close() throws IOException {
        client.close();
    }
}
