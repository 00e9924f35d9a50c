package org.kingcuproad.gateway;

import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import org.jspecify.annotations.Nullable;

/**
 * A connection to an upstream, with at most one request in progress.
 *
 * <p>An upstream may send the response to an earlier request late, in place of the next response. Such a response is
 * recognised by its request id and skipped. Bytes that arrive while no request is in progress cause the connection to
 * be closed.
 */
final class UpstreamConnection extends ChannelInboundHandlerAdapter {

    /** Idle timeout that is assumed if the upstream doesn't announce one. */
    private static final long DEFAULT_IDLE_TIMEOUT_MS = 4_000;

    /** Fraction of the upstream's idle timeout for which a connection is reused; the rest allows for network delays. */
    private static final double IDLE_TIMEOUT_FRACTION = 0.8;

    private static final String KEEP_ALIVE = "Keep-Alive";
    private static final long MS_PER_SECOND = 1_000;

    private final Upstream upstream;
    private final Clock clock;
    private final String requestIdHeader;
    private @Nullable Channel channel;
    private @Nullable Attempt attempt;
    private @Nullable ChannelFuture requestWrite;
    private boolean reused;
    private boolean skipping;
    private boolean closeAfterResponse;
    private long idleSinceMs;
    private long idleTimeoutMs = DEFAULT_IDLE_TIMEOUT_MS;

    UpstreamConnection(Upstream upstream, Clock clock, String requestIdHeader) {
        this.upstream = upstream;
        this.clock = clock;
        this.requestIdHeader = requestIdHeader;
    }

    boolean reused() {
        return reused;
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
            fail("malformed response head");
            return;
        }
        if (response.status().codeClass() == HttpStatusClass.INFORMATIONAL) {
            skipping = true;
            return;
        }
        String id = response.headers().get(requestIdHeader);
        skipping = id != null && !id.equals(current.requestId());
        if (skipping) {
            current.onMismatchedResponse(id);
            return;
        }
        if (id == null && reused) {
            fail("response without a request id on a reused connection");
            return;
        }
        readConnectionHeaders(response);
        current.onHead(response);
    }

    private void readConnectionHeaders(HttpResponse response) {
        boolean framed = HttpUtil.isContentLengthSet(response) || HttpUtil.isTransferEncodingChunked(response);
        closeAfterResponse = !HttpUtil.isKeepAlive(response) || !framed;
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
            if (content instanceof LastHttpContent) {
                skipping = false;
            }
            return;
        }
        if (content.content().isReadable()) {
            current.onBytes(content.content());
        }
        if (content instanceof LastHttpContent && attempt == current) {
            attempt = null;
            returnToPool();
            current.onEnd();
        }
    }

    private void returnToPool() {
        ChannelFuture writeFuture = requestWrite;
        // The rest of a request that is not yet fully written would be sent on this connection before the next request.
        boolean requestFullySent = writeFuture != null && writeFuture.isSuccess();
        Channel current = channel;
        if (closeAfterResponse || !requestFullySent || current == null || !current.isActive()) {
            close();
            return;
        }
        reused = true;
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
        fail("connection closed by the upstream");
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        fail(String.valueOf(cause));
        context.close();
    }
}
