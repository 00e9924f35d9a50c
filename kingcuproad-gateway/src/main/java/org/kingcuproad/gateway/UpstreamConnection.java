package org.kingcuproad.gateway;

import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import org.jspecify.annotations.Nullable;
import org.kingcuproad.policy.gateway.ExpectedResponse;
import org.kingcuproad.policy.gateway.HeadVerdict;
import org.kingcuproad.policy.gateway.ResponseFraming;

/**
 * A connection to an upstream, with at most one request in progress.
 *
 * <p>An upstream may send a second response to an earlier request late, in place of the next response. It is recognised
 * by the id of that request and skipped. Bytes that arrive while no request is in progress, also those that follow a
 * response in the same read, cause the connection to be closed.
 */
final class UpstreamConnection extends ChannelInboundHandlerAdapter {

    /** Idle timeout that is assumed if the upstream doesn't announce one. */
    private static final long DEFAULT_IDLE_TIMEOUT_MS = 4_000;

    /** Fraction of the upstream's idle timeout for which a connection is reused; the rest allows for network delays. */
    private static final double IDLE_TIMEOUT_FRACTION = 0.8;

    /** Maximum size of the responses to other requests that are skipped while one request is in progress. */
    private static final long MAX_SKIPPED_BYTES = 256 << 10;

    private static final String KEEP_ALIVE = "Keep-Alive";
    private static final long MS_PER_SECOND = 1_000;

    private final Upstream upstream;
    private final Clock clock;
    private final HeaderNames names;
    private final UpstreamResponseDecoder decoder = new UpstreamResponseDecoder(this::bodiless);
    private final CarriedRequests carried = new CarriedRequests();
    private @Nullable Channel channel;
    private @Nullable Attempt attempt;
    private @Nullable ChannelFuture requestWrite;
    private boolean skipping;
    private boolean closeAfterResponse;
    private boolean responseRead;
    private boolean bodilessRequest;
    private int informationalResponses;
    private long skippedBytes;
    private long idleSinceMs;
    private long idleTimeoutMs = DEFAULT_IDLE_TIMEOUT_MS;

    UpstreamConnection(Upstream upstream, Clock clock, HeaderNames names) {
        this.upstream = upstream;
        this.clock = clock;
        this.names = names;
    }

    /** Returns the decoder that comes before this handler. */
    UpstreamResponseDecoder decoder() {
        return decoder;
    }

    long idleSinceMs() {
        return idleSinceMs;
    }

    long idleUntilMs() {
        return idleSinceMs + (long) (idleTimeoutMs * IDLE_TIMEOUT_FRACTION);
    }

    boolean open() {
        Channel current = channel;
        return current != null && current.isActive();
    }

    void send(Attempt next, FullHttpRequest request) {
        Channel current = channel;
        if (current == null) {
            ReferenceCountUtil.release(request);
            throw new IllegalStateException("the connection is not open");
        }
        attempt = next;
        skipping = false;
        informationalResponses = 0;
        skippedBytes = 0;
        bodilessRequest = bodiless();
        current.config().setAutoRead(true);
        requestWrite = current.writeAndFlush(request);
    }

    void setAutoRead(boolean autoRead) {
        Channel current = channel;
        if (current != null) {
            current.config().setAutoRead(autoRead);
        }
    }

    void close() {
        attempt = null;
        Channel current = channel;
        if (current != null) {
            current.close();
        }
    }

    @Override
    public void handlerAdded(ChannelHandlerContext context) {
        channel = context.channel();
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
        try {
            if (attempt == null) {
                responseRead = false;
                context.close();
                return;
            }
            if (message instanceof HttpResponse response) {
                onHead(response);
            }
            if (message instanceof HttpContent content) {
                onContent(content);
            }
        } finally {
            ReferenceCountUtil.release(message);
        }
    }

    private void onHead(HttpResponse response) {
        Attempt current = attempt;
        if (current == null) {
            return;
        }
        if (response.decoderResult().isFailure()) {
            fail("malformed response head: " + response.decoderResult().cause());
            return;
        }
        switch (HeadVerdict.of(ResponseHeads.of(response, names), expectedResponse(current))) {
            case HeadVerdict.Answer answer -> {
                readConnectionHeaders(response, answer.framing());
                current.onHead(response, answer.framing());
            }
            case HeadVerdict.Informational informational -> {
                skipping = true;
                informationalResponses++;
                if (informationalResponses > HeadVerdict.Informational.MAX_RESPONSES) {
                    fail("more than " + HeadVerdict.Informational.MAX_RESPONSES + " informational responses");
                }
            }
            case HeadVerdict.LateCopy copy -> {
                skipping = true;
                current.onSkippedResponse(copy.requestId(), response);
            }
            case HeadVerdict.Improper improper -> fail(improper.reason());
        }
    }

    private ExpectedResponse expectedResponse(Attempt current) {
        return new ExpectedResponse(current.requestId(), bodiless(), carried.ids());
    }

    /** Returns whether responses to the request in progress have no body. */
    private boolean bodiless() {
        Attempt current = attempt;
        return current != null && current.exchange().head().method().equals(HttpMethod.HEAD);
    }

    private void readConnectionHeaders(HttpResponse response, ResponseFraming framing) {
        closeAfterResponse = !HttpUtil.isKeepAlive(response) || framing == ResponseFraming.CONNECTION;
        String keepAlive = response.headers().get(KEEP_ALIVE);
        if (keepAlive != null) {
            for (String element : keepAlive.split(",")) {
                String parameter = element.strip();
                if (parameter.startsWith("timeout=")) {
                    try {
                        idleTimeoutMs = Long.parseLong(parameter.substring("timeout=".length())) * MS_PER_SECOND;
                    } catch (NumberFormatException malformed) {
                        // The default applies if the announced timeout can't be parsed.
                        idleTimeoutMs = DEFAULT_IDLE_TIMEOUT_MS;
                    }
                }
            }
        }
    }

    private void onContent(HttpContent content) {
        Attempt current = attempt;
        if (current == null) {
            return;
        }
        if (content.decoderResult().isFailure()) {
            fail("response body with invalid framing");
            return;
        }
        if (skipping) {
            skip(content);
            return;
        }
        if (content.content().isReadable()) {
            current.onBytes(content.content());
        }
        if (content instanceof LastHttpContent && attempt == current) {
            attempt = null;
            responseRead = true;
            carried.add(current.requestId());
            current.onEnd(!requestFailed());
        }
    }

    /** Returns whether the request could not be written, which closes the connection without a read error. */
    private boolean requestFailed() {
        ChannelFuture writeFuture = requestWrite;
        return writeFuture != null && writeFuture.isDone() && !writeFuture.isSuccess();
    }

    private void skip(HttpContent content) {
        skippedBytes += content.content().readableBytes();
        if (skippedBytes > MAX_SKIPPED_BYTES) {
            fail("more than " + MAX_SKIPPED_BYTES + " bytes of responses to other requests");
        } else if (content instanceof LastHttpContent) {
            skipping = false;
        }
    }

    /** Returns the connection to the pool when all bytes that arrived with the end of the response have been seen. */
    @Override
    public void channelReadComplete(ChannelHandlerContext context) {
        if (attempt == null && !decoder.betweenResponses()) {
            responseRead = false;
            close();
        } else if (responseRead) {
            responseRead = false;
            returnToPool();
        }
    }

    private void returnToPool() {
        ChannelFuture writeFuture = requestWrite;
        // The rest of a request that is not yet fully written would be sent on this connection before the next request.
        boolean requestFullySent = writeFuture != null && writeFuture.isSuccess();
        Channel current = channel;
        // The body of a second response to such a request would be read as that of the next response.
        if (bodilessRequest || closeAfterResponse || !requestFullySent || current == null || !current.isActive()) {
            close();
            return;
        }
        idleSinceMs = clock.steadyMs();
        current.config().setAutoRead(true);
        upstream.addIdleConnection(this);
    }

    private void fail(String reason) {
        Attempt current = attempt;
        attempt = null;
        close();
        if (current != null) {
            current.onFailure(reason);
        }
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        upstream.onConnectionClosed(this);
        onDisconnected("connection closed by the upstream");
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        onDisconnected(String.valueOf(cause));
        context.close();
    }

    private void onDisconnected(String reason) {
        Attempt current = attempt;
        attempt = null;
        close();
        if (current != null) {
            current.onDisconnected(reason);
        }
    }

    /** Puts a connection that was opened without a request into the pool. */
    void makeAvailable() {
        idleSinceMs = clock.steadyMs();
        upstream.addIdleConnection(this);
    }
}
