package org.kingcuproad.gateway;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.CompositeByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.socket.DuplexChannel;
import io.netty.handler.codec.TooLongFrameException;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import java.util.ArrayDeque;
import java.util.Deque;
import org.jspecify.annotations.Nullable;
import org.kingcuproad.model.ErrorKind;
import org.kingcuproad.policy.gateway.ClientLimits;

/** A connection of a client. Requests are served one after the other; all methods are called on its event loop. */
final class ClientConnection extends ChannelInboundHandlerAdapter {

    /** Messages that a client may send ahead while its request is in progress. */
    private static final int MAX_SENT_AHEAD = 64;

    /** Time for the client to read the last answer and close, before the connection is reset. */
    private static final long LINGER_MS = 1_000;

    private final Gateway gateway;
    private final Channel channel;
    private final ClientLimits limits;
    private final Deque<Object> sentAhead = new ArrayDeque<>();
    private @Nullable HttpRequest head;
    private @Nullable CompositeByteBuf body;
    private @Nullable Exchange exchange;
    private boolean answering;
    private boolean keepAlive = true;
    private boolean closing;
    private long closingSinceMs;
    private long receivingSinceMs = -1;
    private long quietSinceMs;

    ClientConnection(Gateway gateway, Channel channel, ClientLimits limits) {
        this.gateway = gateway;
        this.channel = channel;
        this.limits = limits;
        this.quietSinceMs = gateway.clock().steadyMs();
    }

    /** Notes that bytes of a client arrived, before they are decoded. */
    void onBytes() {
        quietSinceMs = gateway.clock().steadyMs();
        if (receivingSinceMs < 0 && !answering) {
            receivingSinceMs = quietSinceMs;
        }
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
        if (closing) {
            ReferenceCountUtil.release(message);
        } else if (answering) {
            if (sentAhead.size() >= MAX_SENT_AHEAD) {
                ReferenceCountUtil.release(message);
                context.close();
            } else {
                sentAhead.add(message);
            }
        } else {
            receive(message);
        }
    }

    private void receive(Object message) {
        try {
            if (message instanceof HttpRequest request) {
                onHead(request);
            }
            if (message instanceof HttpContent content && !closing && head != null) {
                onContent(content);
            }
        } finally {
            ReferenceCountUtil.release(message);
        }
    }

    private void onHead(HttpRequest request) {
        head = request;
        keepAlive = HttpUtil.isKeepAlive(request);
        if (request.decoderResult().isFailure()) {
            boolean tooLong = request.decoderResult().cause() instanceof TooLongFrameException;
            reject(tooLong ? ErrorKind.HEADERS_TOO_LARGE : ErrorKind.BAD_REQUEST);
            return;
        }
        boolean twoLengths = request.headers().contains(HttpHeaderNames.TRANSFER_ENCODING)
                && request.headers().contains(HttpHeaderNames.CONTENT_LENGTH);
        if (twoLengths || request.headers().getAll(HttpHeaderNames.HOST).size() > 1) {
            reject(ErrorKind.BAD_REQUEST);
            return;
        }
        if (HttpUtil.getContentLength(request, 0L) > limits.maxBodyBytes()) {
            reject(ErrorKind.BODY_TOO_LARGE);
            return;
        }
        if (HttpUtil.is100ContinueExpected(request)) {
            channel.writeAndFlush(new DefaultFullHttpResponse(
                    HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE, Unpooled.EMPTY_BUFFER));
        }
        body = channel.alloc().compositeBuffer(Integer.MAX_VALUE);
    }

    private void onContent(HttpContent content) {
        CompositeByteBuf received = body;
        HttpRequest request = head;
        if (received == null || request == null) {
            return;
        }
        if (content.decoderResult().isFailure()) {
            reject(ErrorKind.BAD_REQUEST);
            return;
        }
        if (received.readableBytes() + content.content().readableBytes() > limits.maxBodyBytes()) {
            reject(ErrorKind.BODY_TOO_LARGE);
            return;
        }
        if (content.content().isReadable()) {
            received.addComponent(true, content.content().retain());
        }
        if (content instanceof LastHttpContent) {
            body = null;
            head = null;
            answering = true;
            receivingSinceMs = -1;
            gateway.onRequest(this, request, received);
        }
    }

    private void reject(ErrorKind kind) {
        keepAlive = false;
        answering = true;
        receivingSinceMs = -1;
        releaseBody();
        gateway.onMalformed(kind);
        sendProblem(kind, kind.meaning(), -1);
    }

    /** Ties the connection to the request in progress, so that the client's leaving cancels it. */
    void setExchange(Exchange current) {
        exchange = current;
    }

    /**
     * Sends an answer of the gateway itself.
     *
     * @param retryAfterMs time after which the client should come back, or a negative number
     */
    void sendProblem(ErrorKind kind, String detail, long retryAfterMs) {
        DefaultFullHttpResponse response = OwnAnswers.problem(kind, detail, retryAfterMs);
        sendHead(response, true);
        ReferenceCountUtil.safeRelease(response);
    }

    /**
     * Sends a whole answer, or the head of one.
     *
     * @param response the head, with a body if it is the whole answer
     * @param whole whether nothing follows
     */
    void sendHead(HttpResponse response, boolean whole) {
        if (gateway.leaving()) {
            keepAlive = false;
        }
        if (!keepAlive) {
            response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
        }
        ChannelFuture written = channel.writeAndFlush(ReferenceCountUtil.retain(response));
        if (whole) {
            answered(written);
        }
    }

    void sendContent(ByteBuf bytes) {
        channel.writeAndFlush(new DefaultHttpContent(bytes));
    }

    void sendEnd() {
        answered(channel.writeAndFlush(LastHttpContent.EMPTY_LAST_CONTENT));
    }

    /** Ends an answer that can't be completed, so that it doesn't look complete. */
    void abort() {
        exchange = null;
        closing = true;
        channel.close();
    }

    boolean writable() {
        return channel.isWritable();
    }

    private void answered(ChannelFuture written) {
        exchange = null;
        quietSinceMs = gateway.clock().steadyMs();
        if (!keepAlive) {
            closing = true;
            closingSinceMs = quietSinceMs;
            releaseSentAhead();
            written.addListener((ChannelFutureListener) future -> {
                // Closing at once would reset the connection if the client is still sending, and lose the answer.
                if (future.channel() instanceof DuplexChannel duplex && future.isSuccess()) {
                    duplex.shutdownOutput();
                } else {
                    future.channel().close();
                }
            });
            return;
        }
        answering = false;
        while (!answering && !closing && !sentAhead.isEmpty()) {
            receive(sentAhead.removeFirst());
        }
    }

    /**
     * Closes the connection if the client takes too long.
     *
     * @param nowMs current time, in milliseconds
     */
    void sweep(long nowMs) {
        if (closing) {
            if (nowMs - closingSinceMs > LINGER_MS) {
                channel.close();
            }
        } else if (!answering) {
            boolean headLate =
                    head == null && receivingSinceMs >= 0 && nowMs - receivingSinceMs > limits.headerTimeoutMs();
            boolean bodyLate = head != null && nowMs - quietSinceMs > limits.headerTimeoutMs();
            if (headLate || bodyLate) {
                reject(ErrorKind.REQUEST_TIMEOUT);
            } else if (head == null && receivingSinceMs < 0 && nowMs - quietSinceMs > limits.idleTimeoutMs()) {
                channel.close();
            }
        }
    }

    /** Closes the connection if no request is in progress on it. */
    void closeIfIdle() {
        if (!answering && head == null && receivingSinceMs < 0) {
            closing = true;
            channel.close();
        }
    }

    @Override
    public void channelWritabilityChanged(ChannelHandlerContext context) {
        Exchange current = exchange;
        Attempt attempt = current == null ? null : current.attempt();
        if (attempt != null) {
            attempt.setReading(channel.isWritable());
        }
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        releaseBody();
        releaseSentAhead();
        gateway.onConnectionClosed(this);
        Exchange current = exchange;
        exchange = null;
        closing = true;
        if (current != null) {
            gateway.onClientLeft(current);
        }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        gateway.onClientFailure(cause);
        context.close();
    }

    private void releaseBody() {
        CompositeByteBuf received = body;
        body = null;
        head = null;
        if (received != null) {
            received.release();
        }
    }

    private void releaseSentAhead() {
        sentAhead.forEach(ReferenceCountUtil::release);
        sentAhead.clear();
    }
}
