package org.kingcuproad.gateway;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.socket.DuplexChannel;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.FullHttpResponse;
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
import java.util.Optional;
import java.util.function.Supplier;
import org.jspecify.annotations.Nullable;
import org.kingcuproad.model.ErrorKind;
import org.kingcuproad.policy.gateway.BodyAdmission;
import org.kingcuproad.policy.gateway.ClientLimits;
import org.kingcuproad.policy.gateway.MemoryAccount;
import org.kingcuproad.policy.gateway.RetryAfter;
import org.kingcuproad.policy.gateway.UploadProgress;

/**
 * A client connection. Requests are served one at a time, in order; all methods are called on the connection's event
 * loop.
 */
final class ClientConnection extends ChannelInboundHandlerAdapter {

    /** Maximum number of HTTP messages that a client may pipeline while its request is in progress. */
    private static final int MAX_PIPELINED_MESSAGES = 64;

    /** Time that the client has to read the last response and close, before the connection is closed. */
    private static final long LINGER_MS = 1_000;

    /**
     * Time after a response in which the client may send its next request. Closing the connection meanwhile would leave
     * the client without an answer that says whether that request has run.
     */
    private static final long NEXT_REQUEST_MS = 100;

    private static final long NOT_SENT = -1;

    /** Time in which the first request of a new connection is expected; clients connect because they have one. */
    private static final long FIRST_REQUEST_MS = 1_000;

    /** Maximum size of a part of a response body; larger parts would take direct memory that is not pooled. */
    private static final int MAX_CONTENT_BYTES = 32 << 10;

    private final Gateway gateway;
    private final Channel channel;
    private final Supplier<ClientLimits> currentLimits;
    private ClientLimits limits;
    private final HeldMemory memory;
    private final Deque<Object> pipelined = new ArrayDeque<>();
    private @Nullable HttpRequest head;
    private @Nullable RequestBody body;
    private long declaredBodyBytes;
    private boolean awaitingMemory;
    private long awaitingMemorySinceMs;
    private @Nullable ByteBuf content;
    private @Nullable Exchange exchange;
    private boolean requestInProgress;
    private boolean keepAlive = true;
    private boolean closing;
    private long closingSinceMs;
    private long lastSentMs = NOT_SENT;
    private long receivingSinceMs = -1;
    private final long openedMs;
    private long lastActivityMs;
    private boolean requestReceived;
    private UploadProgress upload;

    /**
     * Creates the handler of a connection that has just been opened.
     *
     * @param currentLimits supplies the limits in force, which apply to each request from its headers on
     */
    ClientConnection(Gateway gateway, Channel channel, Supplier<ClientLimits> currentLimits, HeldMemory memory) {
        this.gateway = gateway;
        this.channel = channel;
        this.currentLimits = currentLimits;
        this.limits = currentLimits.get();
        this.memory = memory;
        this.openedMs = gateway.clock().steadyMs();
        this.lastActivityMs = openedMs;
        this.upload = new UploadProgress(openedMs);
    }

    /** Records that bytes arrived from the client, before they are decoded. */
    void onBytes() {
        lastActivityMs = gateway.clock().steadyMs();
        if (receivingSinceMs < 0 && !requestInProgress) {
            receivingSinceMs = lastActivityMs;
        }
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
        if (closing) {
            ReferenceCountUtil.release(message);
        } else if (requestInProgress || awaitingMemory) {
            if (pipelined.size() >= MAX_PIPELINED_MESSAGES) {
                ReferenceCountUtil.release(message);
                context.close();
            } else {
                pipelined.add(message);
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
        limits = currentLimits.get();
        requestReceived = true;
        upload = new UploadProgress(lastActivityMs);
        keepAlive = HttpUtil.isKeepAlive(request);
        Optional<ErrorKind> defect = RequestHeadCheck.defect(request, limits);
        if (defect.isPresent()) {
            reject(defect.get());
            return;
        }
        declaredBodyBytes = HttpUtil.getContentLength(request, 0L);
        awaitingMemorySinceMs = lastActivityMs;
        admitBody(request, memory.bodiesWait(), lastActivityMs);
        if (awaitingMemory) {
            memory.await(this);
        }
    }

    /**
     * Decides again about a body that waits for memory.
     *
     * @param nowMs current time, in milliseconds
     * @return whether the body goes on waiting
     */
    boolean stillAwaitsMemory(long nowMs) {
        HttpRequest request = head;
        if (awaitingMemory && request != null) {
            admitBody(request, false, nowMs);
            if (!awaitingMemory) {
                channel.config().setAutoRead(true);
                receivePipelined();
            }
        }
        return awaitingMemory;
    }

    private void admitBody(HttpRequest request, boolean othersWait, long nowMs) {
        BodyAdmission admission =
                BodyAdmission.of(memory.account(), declaredBodyBytes, othersWait, nowMs - awaitingMemorySinceMs);
        awaitingMemory = admission == BodyAdmission.PAUSE;
        switch (admission) {
            case ADMIT -> startBody(request, nowMs);
            case PAUSE -> channel.config().setAutoRead(false);
            case REFUSE -> refuseBody();
        }
    }

    private void startBody(HttpRequest request, long nowMs) {
        lastActivityMs = nowMs;
        upload = new UploadProgress(nowMs);
        if (HttpUtil.is100ContinueExpected(request)) {
            channel.writeAndFlush(new DefaultFullHttpResponse(
                    HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE, Unpooled.EMPTY_BUFFER));
        }
        body = new RequestBody(channel.alloc(), memory, declaredBodyBytes);
    }

    private void onContent(HttpContent content) {
        RequestBody received = body;
        HttpRequest request = head;
        if (received == null || request == null) {
            return;
        }
        if (content.decoderResult().isFailure()) {
            reject(ErrorKind.BAD_REQUEST);
            return;
        }
        if (received.receivedBytes() + content.content().readableBytes() > limits.maxBodyBytes()) {
            reject(ErrorKind.BODY_TOO_LARGE);
            return;
        }
        upload.onBytes(content.content().readableBytes());
        if (!received.append(content.content())) {
            refuseBody();
            return;
        }
        if (content instanceof LastHttpContent) {
            received.complete();
            body = null;
            head = null;
            requestInProgress = true;
            receivingSinceMs = -1;
            gateway.onRequest(this, request, received);
        }
    }

    private void reject(ErrorKind kind) {
        endRequest();
        gateway.onMalformed(kind);
        sendProblem(kind, kind.meaning(), -1);
    }

    private void refuseBody() {
        long refusedBytes = body == null ? declaredBodyBytes : Math.max(declaredBodyBytes, body.receivedBytes());
        endRequest();
        memory.onBodyRefused(refusedBytes);
        sendProblem(
                ErrorKind.OVERLOADED, "the gateway has no memory for the request body", RetryAfter.OTHER_GATEWAY_MS);
    }

    private void endRequest() {
        keepAlive = false;
        requestInProgress = true;
        receivingSinceMs = -1;
        releaseBody();
    }

    /** Associates the connection with the request in progress, which is cancelled if the client disconnects. */
    void setExchange(Exchange current) {
        exchange = current;
    }

    /**
     * Sends an error response generated by the gateway.
     *
     * @param retryAfterMs delay after which the client should retry, or a negative number for none
     */
    void sendProblem(ErrorKind kind, String detail, long retryAfterMs) {
        DefaultFullHttpResponse response = ProblemResponses.problem(kind, detail, retryAfterMs);
        sendHead(response, true);
        ReferenceCountUtil.safeRelease(response);
    }

    /**
     * Sends a complete response, or the head of one.
     *
     * @param response the head; includes the body if the response is complete
     * @param complete whether nothing follows
     */
    void sendHead(HttpResponse response, boolean complete) {
        if (gateway.draining()) {
            keepAlive = false;
        }
        if (!keepAlive) {
            response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
        }
        int bodyBytes =
                response instanceof FullHttpResponse full ? full.content().readableBytes() : 0;
        ChannelFuture written = channel.writeAndFlush(ReferenceCountUtil.retain(response));
        memory.holdUntilWritten(bodyBytes, written);
        if (complete) {
            onResponseSent(written);
        }
    }

    /**
     * Sends a part of the body of a response. Parts that arrive with the same read from the upstream are sent together,
     * because each chunk and each flush costs far more time than its bytes if they are few.
     *
     * @param bytes the part; must not be modified
     */
    void sendContent(byte[] bytes) {
        int offset = 0;
        while (offset < bytes.length) {
            ByteBuf collected = content;
            if (collected == null) {
                collected =
                        channel.alloc().buffer(Math.min(bytes.length - offset, MAX_CONTENT_BYTES), MAX_CONTENT_BYTES);
                content = collected;
                channel.eventLoop().execute(this::flushContent);
            }
            int count = Math.min(bytes.length - offset, collected.maxWritableBytes());
            collected.writeBytes(bytes, offset, count);
            offset += count;
            if (collected.maxWritableBytes() == 0) {
                flushContent();
            }
        }
    }

    private void flushContent() {
        ByteBuf collected = content;
        content = null;
        if (collected != null) {
            int bytes = collected.readableBytes();
            memory.holdUntilWritten(bytes, channel.writeAndFlush(new DefaultHttpContent(collected)));
            resumeReading();
        }
    }

    void sendEnd() {
        flushContent();
        onResponseSent(channel.writeAndFlush(LastHttpContent.EMPTY_LAST_CONTENT));
    }

    /**
     * Closes the connection in the middle of a response that can't be completed, so that the client doesn't take it for
     * complete.
     */
    void abort() {
        flushContent();
        exchange = null;
        closing = true;
        channel.close();
    }

    /**
     * Returns whether more of a response may be read. While memory is short, that is only when all that was read has
     * been written.
     */
    boolean writable() {
        return channel.isWritable() && (!memory.account().exhausted() || (content == null && nothingPending()));
    }

    MemoryAccount memoryAccount() {
        return memory.account();
    }

    private boolean nothingPending() {
        return channel.bytesBeforeUnwritable() >= channel.config().getWriteBufferHighWaterMark();
    }

    private void resumeReading() {
        Exchange current = exchange;
        Attempt attempt = current == null ? null : current.attempt();
        if (attempt != null && writable()) {
            attempt.setAutoRead(true);
        }
    }

    private void onResponseSent(ChannelFuture written) {
        exchange = null;
        lastActivityMs = gateway.clock().steadyMs();
        if (!keepAlive) {
            closing = true;
            closingSinceMs = lastActivityMs;
            releasePipelined();
            written.addListener((ChannelFutureListener) future -> {
                lastSentMs = gateway.clock().steadyMs();
                // Closing at once would reset the connection if the client is still sending, and the response would be
                // lost.
                if (future.channel() instanceof DuplexChannel duplex && future.isSuccess()) {
                    duplex.shutdownOutput();
                } else {
                    future.channel().close();
                }
            });
            return;
        }
        requestInProgress = false;
        receivePipelined();
    }

    private void receivePipelined() {
        while (!requestInProgress && !awaitingMemory && !closing && !pipelined.isEmpty()) {
            receive(pipelined.removeFirst());
        }
    }

    /**
     * Enforces the header, body and idle timeouts and the linger time.
     *
     * @param nowMs current time, in milliseconds
     */
    void sweep(long nowMs) {
        refreshLimits();
        if (closing) {
            boolean closed = lastSentMs == NOT_SENT
                    ? nowMs - closingSinceMs > limits.idleTimeoutMs()
                    : nowMs - lastSentMs > LINGER_MS;
            if (closed) {
                channel.close();
            }
        } else if (!requestInProgress) {
            boolean headTimedOut =
                    head == null && receivingSinceMs >= 0 && nowMs - receivingSinceMs > limits.headerTimeoutMs();
            boolean bodyTimedOut = head != null
                    && !awaitingMemory
                    && (nowMs - lastActivityMs > limits.headerTimeoutMs()
                            || upload.isStalled(limits.headerTimeoutMs(), nowMs));
            if (headTimedOut || bodyTimedOut) {
                reject(ErrorKind.REQUEST_TIMEOUT);
            } else if (head == null && receivingSinceMs < 0 && nowMs - lastActivityMs > limits.idleTimeoutMs()) {
                channel.close();
            }
        } else {
            resumeReading();
        }
    }

    /** Answers a request that has not arrived completely, because the gateway stops; it has not run. */
    void endUpload() {
        boolean arriving = head != null || receivingSinceMs >= 0;
        if (arriving && !requestInProgress && !closing) {
            awaitingMemory = false;
            // Unread bytes would reset the connection when it is closed, and the response would be lost.
            channel.config().setAutoRead(true);
            endRequest();
            sendProblem(
                    ErrorKind.SHUTTING_DOWN,
                    "the gateway stops before the request has arrived",
                    RetryAfter.OTHER_GATEWAY_MS);
        }
    }

    private void refreshLimits() {
        if (head == null && !requestInProgress) {
            limits = currentLimits.get();
        }
    }

    /**
     * Closes the connection if no request is in progress on it and none is expected soon.
     *
     * @param nowMs current time, in milliseconds
     */
    void closeIfIdle(long nowMs) {
        boolean requestExpected =
                requestReceived ? nowMs - lastActivityMs < NEXT_REQUEST_MS : nowMs - openedMs < FIRST_REQUEST_MS;
        if (!requestInProgress && head == null && receivingSinceMs < 0 && !requestExpected) {
            closing = true;
            channel.close();
        }
    }

    @Override
    public void channelWritabilityChanged(ChannelHandlerContext context) {
        Exchange current = exchange;
        Attempt attempt = current == null ? null : current.attempt();
        if (attempt != null) {
            attempt.setAutoRead(writable());
        }
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        releaseBody();
        releasePipelined();
        ReferenceCountUtil.release(content);
        content = null;
        gateway.onConnectionClosed(this);
        Exchange current = exchange;
        exchange = null;
        closing = true;
        awaitingMemory = false;
        if (current != null) {
            gateway.onClientDisconnected(current);
        }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        gateway.onClientFailure(cause);
        context.close();
    }

    private void releaseBody() {
        RequestBody received = body;
        body = null;
        head = null;
        if (received != null) {
            received.release();
        }
    }

    private void releasePipelined() {
        pipelined.forEach(ReferenceCountUtil::release);
        pipelined.clear();
    }
}
