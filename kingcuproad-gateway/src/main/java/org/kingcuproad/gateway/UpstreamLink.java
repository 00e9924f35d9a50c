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
 * A connection to an upstream, with at most one request on it.
 *
 * <p>An upstream may send another request's answer late, where the next answer is expected. Such an answer is
 * recognised by its request id and passed over. Bytes that arrive while no request is in progress close the connection.
 */
final class UpstreamLink extends ChannelInboundHandlerAdapter {

    /** Assumed where the upstream doesn't say how long it keeps idle connections. */
    private static final long DEFAULT_IDLE_MS = 4_000;

    /** Part of the upstream's idle timeout for which a connection is used; the rest covers delays on the way. */
    private static final double IDLE_SHARE = 0.8;

    private static final String KEEP_ALIVE = "Keep-Alive";
    private static final long SECOND_MS = 1_000;

    private final Upstream upstream;
    private final Clock clock;
    private final String requestIdHeader;
    private @Nullable Channel channel;
    private @Nullable Attempt attempt;
    private @Nullable ChannelFuture written;
    private boolean used;
    private boolean passingOver;
    private boolean closeAfterAnswer;
    private long idleSinceMs;
    private long idleMs = DEFAULT_IDLE_MS;

    UpstreamLink(Upstream upstream, Clock clock, String requestIdHeader) {
        this.upstream = upstream;
        this.clock = clock;
        this.requestIdHeader = requestIdHeader;
    }

    boolean used() {
        return used;
    }

    long idleSinceMs() {
        return idleSinceMs;
    }

    long idleUntilMs() {
        return idleSinceMs + (long) (idleMs * IDLE_SHARE);
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
        passingOver = false;
        current.config().setAutoRead(true);
        written = current.writeAndFlush(request);
    }

    void setReading(boolean reading) {
        Channel current = channel;
        if (current != null) {
            current.config().setAutoRead(reading);
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
            broken("bytes that are no answer");
            return;
        }
        if (response.status().codeClass() == HttpStatusClass.INFORMATIONAL) {
            passingOver = true;
            return;
        }
        String id = response.headers().get(requestIdHeader);
        passingOver = id != null && !id.equals(current.requestId());
        if (passingOver) {
            current.onForeignAnswer(id);
            return;
        }
        if (id == null && used) {
            broken("answer without a request id on a used connection");
            return;
        }
        readConnectionHeaders(response);
        current.onHead(response);
    }

    private void readConnectionHeaders(HttpResponse response) {
        boolean framed = HttpUtil.isContentLengthSet(response) || HttpUtil.isTransferEncodingChunked(response);
        closeAfterAnswer = !HttpUtil.isKeepAlive(response) || !framed;
        String keepAlive = response.headers().get(KEEP_ALIVE);
        if (keepAlive != null) {
            for (String part : keepAlive.split(",")) {
                String text = part.strip();
                if (text.startsWith("timeout=")) {
                    try {
                        idleMs = Long.parseLong(text.substring("timeout=".length())) * SECOND_MS;
                    } catch (NumberFormatException malformed) {
                        // The usual time holds where the upstream names none that can be read.
                        idleMs = DEFAULT_IDLE_MS;
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
            broken("answer with broken framing");
            return;
        }
        if (passingOver) {
            if (content instanceof LastHttpContent) {
                passingOver = false;
            }
            return;
        }
        if (content.content().isReadable()) {
            current.onBytes(content.content());
        }
        if (content instanceof LastHttpContent && attempt == current) {
            attempt = null;
            release();
            current.onEnd();
        }
    }

    private void release() {
        ChannelFuture sent = written;
        // A request that is not yet written whole would be continued on this connection, before the next one.
        boolean wholeRequestSent = sent != null && sent.isSuccess();
        Channel current = channel;
        if (closeAfterAnswer || !wholeRequestSent || current == null || !current.isActive()) {
            close();
            return;
        }
        used = true;
        idleSinceMs = clock.steadyMs();
        current.config().setAutoRead(true);
        upstream.putIdle(this);
    }

    private void broken(String reason) {
        Attempt current = attempt;
        attempt = null;
        close();
        if (current != null) {
            current.onBroken(reason);
        }
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        upstream.onLinkClosed(this);
        broken("connection closed by the upstream");
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        broken(String.valueOf(cause));
        context.close();
    }
}
