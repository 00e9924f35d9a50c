package org.kingcuproad.gateway;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.function.Supplier;

/** HTTP server that responds to every request with the current status, such as readiness or metrics. */
public final class StatusServer {

    /** Maximum size of a request; status requests have no body. */
    private static final int MAX_REQUEST_BYTES = 4_096;

    private StatusServer() {}

    /**
     * Content of a response.
     *
     * @param ok whether the HTTP status is 200 rather than 503
     * @param text response body
     */
    public record Status(boolean ok, String text) {}

    /**
     * Binds the listening socket.
     *
     * @param eventLoops event loops that run the server
     * @param address address to bind
     * @param status called for each request
     * @return completes when the address is bound
     */
    public static ChannelFuture listen(EventLoopGroup eventLoops, InetSocketAddress address, Supplier<Status> status) {
        return new ServerBootstrap()
                .group(eventLoops)
                .channel(NioServerSocketChannel.class)
                .option(ChannelOption.SO_REUSEADDR, true)
                .childHandler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel channel) {
                        channel.pipeline()
                                .addLast(
                                        new HttpServerCodec(),
                                        new HttpObjectAggregator(MAX_REQUEST_BYTES),
                                        new StatusHandler(status));
                    }
                })
                .bind(address);
    }

    private static final class StatusHandler extends SimpleChannelInboundHandler<FullHttpRequest> {

        private final Supplier<Status> status;

        private StatusHandler(Supplier<Status> status) {
            this.status = status;
        }

        @Override
        protected void channelRead0(ChannelHandlerContext context, FullHttpRequest request) {
            Status current = status.get();
            byte[] body = current.text().getBytes(StandardCharsets.UTF_8);
            DefaultFullHttpResponse response = new DefaultFullHttpResponse(
                    HttpVersion.HTTP_1_1,
                    current.ok() ? HttpResponseStatus.OK : HttpResponseStatus.SERVICE_UNAVAILABLE,
                    Unpooled.wrappedBuffer(body));
            response.headers()
                    .set(HttpHeaderNames.CONTENT_TYPE, "text/plain; charset=utf-8")
                    .set(HttpHeaderNames.CONTENT_LENGTH, body.length);
            boolean keepAlive = HttpUtil.isKeepAlive(request);
            if (!keepAlive) {
                response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
            }
            var written = context.writeAndFlush(response);
            if (!keepAlive) {
                written.addListener(ChannelFutureListener.CLOSE);
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            context.close();
        }
    }
}
