package org.kingcuproad.runtime.http;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.handler.codec.http.HttpServerUpgradeHandler;
import io.netty.handler.codec.http2.CleartextHttp2ServerUpgradeHandler;
import io.netty.handler.codec.http2.Http2FrameCodecBuilder;
import io.netty.handler.codec.http2.Http2MultiplexHandler;
import io.netty.handler.codec.http2.Http2Settings;
import io.netty.handler.codec.http2.Http2StreamFrameToHttpObjectCodec;
import java.net.InetSocketAddress;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.kingcuproad.model.ErrorKind;
import org.kingcuproad.model.KingcuproadException;

/** An HTTP server for HTTP/1.1 and, with prior knowledge, HTTP/2 over cleartext TCP. */
public final class HttpServer {

    private static final int MAX_CONCURRENT_STREAMS = 1_000;

    /** Delay after which the selector has removed a closed channel; any delay leads past the next selection. */
    private static final long DEREGISTRATION_MS = 1;

    private final HttpServerSettings settings;
    private final HttpHandler handler;
    private final ServerConnections connections = new ServerConnections();
    private final Channel listener;

    private HttpServer(EventLoopGroup eventLoops, HttpServerSettings settings, HttpHandler handler)
            throws KingcuproadException {
        this.settings = settings;
        this.handler = handler;
        this.listener = bind(eventLoops);
    }

    /**
     * Starts a server.
     *
     * @param eventLoops event loops for the listener and all connections
     * @param settings where to listen and how much to accept
     * @param handler answers the requests
     * @return the running server
     * @throws KingcuproadException if the address can't be bound
     */
    public static HttpServer start(EventLoopGroup eventLoops, HttpServerSettings settings, HttpHandler handler)
            throws KingcuproadException {
        return new HttpServer(eventLoops, settings, handler);
    }

    /**
     * Returns the port that the server listens on.
     *
     * @return the TCP port
     */
    public int port() {
        return ((InetSocketAddress) listener.localAddress()).getPort();
    }

    /**
     * Returns the number of requests whose responses are not complete.
     *
     * @return requests in progress
     */
    public int requestsInProgress() {
        return connections.exchangesInProgress();
    }

    /**
     * Stops keeping connections alive: HTTP/1.1 responses carry {@code Connection: close} and HTTP/2 connections get a
     * GOAWAY frame. Requests are still answered.
     *
     * @return completes when no request is in progress
     */
    public CompletableFuture<Void> drain() {
        return connections.drain();
    }

    /**
     * Stops listening and closes all connections at once. Call {@link #drain()} first for a graceful shutdown. When
     * this returns, new connections are refused; only a call on the server's own event loop returns earlier.
     */
    public void close() {
        CompletableFuture<Void> refusing = stopListening();
        if (!listener.eventLoop().inEventLoop()) {
            refusing.join();
        }
        connections.closeAll();
    }

    /** Completes when the listening socket is closed, which a selector does only with the selection after the close. */
    private CompletableFuture<Void> stopListening() {
        CompletableFuture<Void> refusing = new CompletableFuture<>();
        // An event loop that shuts down runs no scheduled tasks; it closes its sockets itself.
        listener.eventLoop().terminationFuture().addListener(terminated -> refusing.complete(null));
        listener.close()
                .addListener(closed -> listener.eventLoop()
                        .schedule(() -> refusing.complete(null), DEREGISTRATION_MS, TimeUnit.MILLISECONDS));
        return refusing;
    }

    private Channel bind(EventLoopGroup eventLoops) throws KingcuproadException {
        ServerBootstrap bootstrap = new ServerBootstrap()
                .group(eventLoops)
                .channel(NioServerSocketChannel.class)
                .option(ChannelOption.SO_BACKLOG, 1024)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childHandler(initializer(this::initializeConnection));
        try {
            return bootstrap.bind(settings.host(), settings.port()).sync().channel();
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
            throw new KingcuproadException(ErrorKind.INTERNAL, "interrupted while binding", interrupted);
        } catch (Exception failure) {
            String address = settings.host() + ":" + settings.port();
            throw new KingcuproadException(ErrorKind.INTERNAL, "cannot listen on " + address, failure);
        }
    }

    private void initializeConnection(Channel channel) {
        connections.add(channel);
        HttpServerCodec http1 = new HttpServerCodec(settings.maxHeaderBytes(), settings.maxHeaderBytes(), 8192);
        ChannelHandler http2 = initializer(this::initializeHttp2);
        channel.pipeline()
                .addLast(new CleartextHttp2ServerUpgradeHandler(
                        http1, new HttpServerUpgradeHandler(http1, protocol -> null, settings.maxBodyBytes()), http2))
                .addLast(new Http1Initializer(this::addExchangeHandlers));
    }

    private void initializeHttp2(Channel channel) {
        channel.pipeline().remove(Http1Initializer.class);
        channel.pipeline()
                .addLast(Http2FrameCodecBuilder.forServer()
                        .initialSettings(Http2Settings.defaultSettings()
                                .maxConcurrentStreams(MAX_CONCURRENT_STREAMS)
                                .maxHeaderListSize(settings.maxHeaderBytes()))
                        .build())
                .addLast(new Http2MultiplexHandler(initializer(this::initializeStream)));
    }

    private void initializeStream(Channel stream) {
        stream.pipeline().addLast(new Http2StreamFrameToHttpObjectCodec(true));
        addExchangeHandlers(stream);
    }

    private void addExchangeHandlers(Channel channel) {
        channel.pipeline()
                .addLast(new BodyAggregator(settings.maxBodyBytes()))
                .addLast(new ExchangeHandler(handler, connections));
    }

    private static ChannelHandler initializer(Consumer<Channel> action) {
        return new ChannelInitializer<>() {
            @Override
            protected void initChannel(Channel channel) {
                action.accept(channel);
            }
        };
    }
}
