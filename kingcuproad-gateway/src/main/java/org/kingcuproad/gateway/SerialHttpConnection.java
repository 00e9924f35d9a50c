package org.kingcuproad.gateway;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequestEncoder;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.util.ReferenceCountUtil;
import io.netty.util.concurrent.ScheduledFuture;
import java.net.InetSocketAddress;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.jspecify.annotations.Nullable;

/**
 * An HTTP connection that carries one call at a time.
 *
 * <p>It is opened when a call needs it and closed when a call times out, because a connection that has stopped
 * responding does not recover. Responses don't say which call they answer. Bytes that arrive while no call is in
 * progress therefore close the connection, and a call is lost if bytes follow its response in the same read. A second
 * response to one call that arrives later, alone and while the next call is in progress, is taken for the response to
 * that one, so calls whose replies don't show what they answer use {@link #callOnNewConnection}. All methods are called
 * on the event loop.
 */
public final class SerialHttpConnection {

    /**
     * Timeout of connecting; store and engines respond in milliseconds, so a connection that takes longer will not be
     * established.
     */
    private static final int CONNECT_TIMEOUT_MS = 500;

    private final EventLoop eventLoop;
    private final InetSocketAddress address;
    private @Nullable Channel channel;
    private @Nullable Call current;

    /**
     * Creates an instance that is not connected.
     *
     * @param eventLoop event loop that runs all callbacks
     * @param address address to connect to
     */
    public SerialHttpConnection(EventLoop eventLoop, InetSocketAddress address) {
        this.eventLoop = eventLoop;
        this.address = address;
    }

    /**
     * Starts a call. No other call may be in progress.
     *
     * @param method HTTP method
     * @param target request target
     * @param body JSON body, may be empty
     * @param timeoutMs maximum time to the complete response, in milliseconds
     * @param onReply receives the result, exactly once
     */
    public void call(HttpMethod method, String target, byte[] body, long timeoutMs, Consumer<HttpReply> onReply) {
        if (current != null) {
            throw new IllegalStateException("another call is in progress");
        }
        Call call = new Call(method, target, body, onReply);
        current = call;
        call.timer = eventLoop.schedule(
                () -> finish(call, new HttpReply.Lost("no response within " + timeoutMs + " ms"), true),
                timeoutMs,
                TimeUnit.MILLISECONDS);
        Channel open = channel;
        if (open != null && open.isActive()) {
            send(open, call);
        } else {
            closeChannel();
            connect(call);
        }
    }

    /**
     * Starts a call on a connection that has carried no other, and keeps it for later calls. It is for calls after
     * which the caller acts upon a reply that nothing else confirms.
     *
     * @param method HTTP method
     * @param target request target
     * @param body JSON body, may be empty
     * @param timeoutMs maximum time to the complete response, in milliseconds
     * @param onReply receives the result, exactly once
     */
    public void callOnNewConnection(
            HttpMethod method, String target, byte[] body, long timeoutMs, Consumer<HttpReply> onReply) {
        if (current == null) {
            closeChannel();
        }
        call(method, target, body, timeoutMs, onReply);
    }

    /** Closes the connection. A call in progress ends with {@link HttpReply.Lost}. */
    public void close() {
        Call call = current;
        if (call != null) {
            finish(call, new HttpReply.Lost("connection closed"), true);
        } else {
            closeChannel();
        }
    }

    private void connect(Call call) {
        UpstreamResponseDecoder decoder = new UpstreamResponseDecoder(() -> false);
        ChannelFuture connectFuture = new Bootstrap()
                .group(eventLoop)
                .channel(NioSocketChannel.class)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MS)
                .option(ChannelOption.TCP_NODELAY, true)
                .handler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel newChannel) {
                        newChannel.pipeline().addLast(new HttpRequestEncoder(), decoder, new ResponseHandler(decoder));
                    }
                })
                .connect(address);
        connectFuture.addListener((ChannelFutureListener) future -> {
            if (!future.isSuccess()) {
                finish(call, new HttpReply.Lost("connection failed: " + future.cause()), true);
            } else if (current != call) {
                future.channel().close();
            } else {
                channel = future.channel();
                send(future.channel(), call);
            }
        });
    }

    private void send(Channel open, Call call) {
        DefaultFullHttpRequest request = new DefaultFullHttpRequest(
                HttpVersion.HTTP_1_1, call.method, call.target, Unpooled.wrappedBuffer(call.body));
        request.headers().set(HttpHeaderNames.HOST, address.getHostString() + ":" + address.getPort());
        if (call.body.length > 0) {
            request.headers().set(HttpHeaderNames.CONTENT_TYPE, "application/json");
        }
        if (call.body.length > 0 || !call.method.equals(HttpMethod.GET)) {
            request.headers().set(HttpHeaderNames.CONTENT_LENGTH, call.body.length);
        }
        call.write = open.writeAndFlush(request);
    }

    private void finish(Call call, HttpReply reply, boolean close) {
        if (current != call) {
            return;
        }
        current = null;
        if (call.timer != null) {
            call.timer.cancel(false);
        }
        if (close) {
            closeChannel();
        }
        call.onReply.accept(reply);
    }

    private void closeChannel() {
        Channel open = channel;
        channel = null;
        if (open != null) {
            open.close();
        }
    }

    private static final class Call {

        private final HttpMethod method;
        private final String target;
        private final byte[] body;
        private final Consumer<HttpReply> onReply;
        private final ReplyAssembler assembler = new ReplyAssembler();
        private @Nullable ScheduledFuture<?> timer;
        private @Nullable ChannelFuture write;

        private Call(HttpMethod method, String target, byte[] body, Consumer<HttpReply> onReply) {
            this.method = method;
            this.target = target;
            this.body = body;
            this.onReply = onReply;
        }

        /** Returns whether no part of the request remains to be sent before the next one. */
        private boolean written() {
            return write != null && write.isSuccess();
        }
    }

    private final class ResponseHandler extends ChannelInboundHandlerAdapter {

        private final UpstreamResponseDecoder decoder;

        private ResponseHandler(UpstreamResponseDecoder decoder) {
            this.decoder = decoder;
        }

        @Override
        public void channelRead(ChannelHandlerContext context, Object message) {
            try {
                Call call = current;
                if (context.channel() != channel) {
                    context.close();
                } else if (call == null) {
                    closeChannel();
                } else if (message instanceof HttpObject part) {
                    Optional<String> fault = call.assembler.add(part);
                    fault.ifPresent(reason -> finish(call, new HttpReply.Lost(reason), true));
                }
            } finally {
                ReferenceCountUtil.release(message);
            }
        }

        /** Ends a call when all bytes that arrived with the end of its response have been seen. */
        @Override
        public void channelReadComplete(ChannelHandlerContext context) {
            if (context.channel() != channel) {
                return;
            }
            Call call = current;
            if (call == null) {
                if (!decoder.betweenResponses()) {
                    closeChannel();
                }
            } else if (call.assembler.complete()) {
                if (decoder.betweenResponses()) {
                    finish(call, call.assembler.response(), !call.assembler.keepAlive() || !call.written());
                } else {
                    finish(call, new HttpReply.Lost("bytes after the response"), true);
                }
            }
        }

        @Override
        public void channelInactive(ChannelHandlerContext context) {
            if (context.channel() == channel) {
                channel = null;
                Call call = current;
                if (call != null) {
                    finish(call, new HttpReply.Lost("connection closed by the server"), true);
                }
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            Call call = current;
            if (context.channel() == channel && call != null) {
                finish(call, new HttpReply.Lost(String.valueOf(cause)), true);
            }
            context.close();
        }
    }
}
