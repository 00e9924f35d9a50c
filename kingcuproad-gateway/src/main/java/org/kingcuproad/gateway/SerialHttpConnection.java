package org.kingcuproad.gateway;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpClientCodec;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.util.concurrent.ScheduledFuture;
import java.net.InetSocketAddress;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.jspecify.annotations.Nullable;

/**
 * A connection that carries one call after the other.
 *
 * <p>It is opened when a call needs it and closed when a call has no answer in time, because a silent connection never
 * answers again. All methods are called on the event loop.
 */
public final class SerialHttpConnection {

    /** Store and engines answer in milliseconds, so a connection that takes longer isn't coming. */
    private static final int CONNECT_TIMEOUT_MS = 500;

    /** Objects are at most one megabyte and a listing about one; the rest is for names and punctuation. */
    private static final int MAX_ANSWER_BYTES = 4 << 20;

    private final EventLoop eventLoop;
    private final InetSocketAddress address;
    private @Nullable Channel channel;
    private @Nullable Call current;

    /**
     * Creates a closed connection.
     *
     * @param eventLoop runs everything
     * @param address where to connect
     */
    public SerialHttpConnection(EventLoop eventLoop, InetSocketAddress address) {
        this.eventLoop = eventLoop;
        this.address = address;
    }

    /**
     * Makes a call. There must be no other one in progress.
     *
     * @param method HTTP method
     * @param target request target
     * @param body JSON body, may be empty
     * @param timeoutMs longest time to the complete answer, in milliseconds
     * @param onReply receives the result, exactly once
     */
    public void call(HttpMethod method, String target, byte[] body, long timeoutMs, Consumer<HttpReply> onReply) {
        if (current != null) {
            throw new IllegalStateException("a call is in progress");
        }
        Call call = new Call(method, target, body, onReply);
        current = call;
        call.timer = eventLoop.schedule(
                () -> finish(call, new HttpReply.Lost("no answer within " + timeoutMs + " ms"), true),
                timeoutMs,
                TimeUnit.MILLISECONDS);
        Channel open = channel;
        if (open != null && open.isActive()) {
            send(open, call);
        } else {
            connect(call);
        }
    }

    /** Closes the connection. A call in progress is lost. */
    public void close() {
        Call call = current;
        if (call != null) {
            finish(call, new HttpReply.Lost("connection closed"), true);
        } else {
            closeChannel();
        }
    }

    private void connect(Call call) {
        ChannelFuture connecting = new Bootstrap()
                .group(eventLoop)
                .channel(NioSocketChannel.class)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MS)
                .option(ChannelOption.TCP_NODELAY, true)
                .handler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel opened) {
                        opened.pipeline()
                                .addLast(
                                        new HttpClientCodec(),
                                        new HttpObjectAggregator(MAX_ANSWER_BYTES),
                                        new AnswerHandler());
                    }
                })
                .connect(address);
        connecting.addListener((ChannelFutureListener) future -> {
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
        open.writeAndFlush(request);
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
        private @Nullable ScheduledFuture<?> timer;

        private Call(HttpMethod method, String target, byte[] body, Consumer<HttpReply> onReply) {
            this.method = method;
            this.target = target;
            this.body = body;
            this.onReply = onReply;
        }
    }

    private final class AnswerHandler extends SimpleChannelInboundHandler<FullHttpResponse> {

        @Override
        protected void channelRead0(ChannelHandlerContext context, FullHttpResponse response) {
            Call call = current;
            if (call == null || context.channel() != channel) {
                context.close();
                return;
            }
            if (response.decoderResult().isFailure()) {
                finish(call, new HttpReply.Lost("unreadable answer"), true);
                return;
            }
            byte[] body = new byte[response.content().readableBytes()];
            response.content().readBytes(body);
            finish(call, new HttpReply.Answer(response.status().code(), body), !HttpUtil.isKeepAlive(response));
        }

        @Override
        public void channelInactive(ChannelHandlerContext context) {
            if (context.channel() == channel) {
                channel = null;
                Call call = current;
                if (call != null) {
                    finish(call, new HttpReply.Lost("connection closed by the other side"), true);
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
