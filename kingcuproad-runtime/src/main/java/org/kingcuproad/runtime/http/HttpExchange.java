package org.kingcuproad.runtime.http;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.DefaultLastHttpContent;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.QueryStringDecoder;
import io.netty.handler.codec.http2.HttpConversionUtil;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * One request and the means to answer it, whole or as a stream.
 *
 * <p>The answering methods may be called from any thread; calls from one thread take effect in their order. They write
 * to the channel and not to the handler's own context, because {@link ExchangeHandler} must see the end of a response
 * to begin with the next request.
 */
public final class HttpExchange {

    private static final String STREAM_ID =
            HttpConversionUtil.ExtensionHeaderNames.STREAM_ID.text().toString();

    private final ChannelHandlerContext context;
    private final FullHttpRequest request;
    private final byte[] body;
    private final QueryStringDecoder uri;
    private final boolean closeAfter;

    HttpExchange(ChannelHandlerContext context, FullHttpRequest request, boolean closeAfter) {
        this.context = context;
        this.request = request;
        this.body = ByteBufUtil.getBytes(request.content());
        this.uri = new QueryStringDecoder(request.uri());
        this.closeAfter = closeAfter;
    }

    /**
     * Returns the method.
     *
     * @return the HTTP method in upper case
     */
    public String method() {
        return request.method().name();
    }

    /**
     * Returns the path without the query.
     *
     * @return the decoded path
     */
    public String path() {
        return uri.path();
    }

    /**
     * Returns the request target as the caller sent it.
     *
     * @return the path and query, not decoded
     */
    public String target() {
        return request.uri();
    }

    /**
     * Returns the query parameters.
     *
     * @return the values of each parameter
     */
    public Map<String, List<String>> query() {
        return uri.parameters();
    }

    /**
     * Returns the first value of a query parameter.
     *
     * @param name name of the parameter
     * @return the value, or empty if the parameter is absent
     */
    public Optional<String> queryValue(String name) {
        return uri.parameters().getOrDefault(name, List.of()).stream().findFirst();
    }

    /**
     * Returns the request headers.
     *
     * @return the headers
     */
    public HttpHeaders headers() {
        return request.headers();
    }

    /**
     * Returns the value of a request header.
     *
     * @param name name of the header, in any case
     * @return the value, or empty if the header is absent
     */
    public Optional<String> header(String name) {
        return Optional.ofNullable(request.headers().get(name));
    }

    /**
     * Returns the request body.
     *
     * @return the bytes, empty if there are none; must not be changed
     */
    public byte[] body() {
        return body;
    }

    /**
     * Returns the event loop of the connection.
     *
     * @return the event loop, on which the handler was called
     */
    public EventLoop eventLoop() {
        return context.channel().eventLoop();
    }

    /**
     * Answers with a whole response.
     *
     * @param status HTTP status code
     * @param contentType media type of the body
     * @param content the body
     */
    public void respond(int status, String contentType, byte[] content) {
        respond(status, contentType, Map.of(), content);
    }

    /**
     * Answers with a whole response and further headers.
     *
     * @param status HTTP status code
     * @param contentType media type of the body
     * @param extra further headers
     * @param content the body
     */
    public void respond(int status, String contentType, Map<String, String> extra, byte[] content) {
        DefaultFullHttpResponse response = new DefaultFullHttpResponse(
                HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(status), Unpooled.wrappedBuffer(content));
        extra.forEach((name, value) -> response.headers().add(name, value));
        response.headers().set(HttpHeaderNames.CONTENT_TYPE, contentType);
        response.headers().setInt(HttpHeaderNames.CONTENT_LENGTH, content.length);
        prepare(response);
        context.channel().writeAndFlush(response);
    }

    /**
     * Answers with a whole JSON response.
     *
     * @param status HTTP status code
     * @param json the body
     */
    public void respondJson(int status, String json) {
        respond(status, "application/json", json.getBytes(StandardCharsets.UTF_8));
    }

    /**
     * Starts a streamed response. {@link #finish()} must follow for the response to be complete.
     *
     * @param status HTTP status code
     * @param headers response headers by name; hop-by-hop headers must not be among them
     */
    public void start(int status, List<Map.Entry<String, String>> headers) {
        DefaultHttpResponse response =
                new DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(status));
        headers.forEach(header -> response.headers().add(header.getKey(), header.getValue()));
        if (!response.headers().contains(HttpHeaderNames.CONTENT_LENGTH)) {
            HttpUtil.setTransferEncodingChunked(response, true);
        }
        prepare(response);
        context.channel().writeAndFlush(response);
    }

    /**
     * Sends a part of a streamed response.
     *
     * @param data the bytes
     */
    public void write(byte[] data) {
        ByteBuf buffer = Unpooled.wrappedBuffer(data);
        context.channel().writeAndFlush(new DefaultHttpContent(buffer));
    }

    /**
     * Sends a part of a streamed response and tells when the bytes left the process.
     *
     * @param data the bytes
     * @param onWritten called on the event loop once the bytes were handed to the socket
     */
    public void write(byte[] data, Runnable onWritten) {
        context.channel()
                .writeAndFlush(new DefaultHttpContent(Unpooled.wrappedBuffer(data)))
                .addListener(future -> {
                    if (future.isSuccess()) {
                        onWritten.run();
                    }
                });
    }

    /** Marks a streamed response as complete. */
    public void finish() {
        context.channel().writeAndFlush(new DefaultLastHttpContent());
    }

    /** Breaks off a streamed response, so that the caller sees an error: closes the connection or resets the stream. */
    public void abort() {
        context.executor().execute(() -> context.channel().close());
    }

    /**
     * Registers an action for the end of the connection or HTTP/2 stream.
     *
     * @param action called on the event loop when the channel closes, also after a complete response
     */
    public void onClosed(Runnable action) {
        context.channel().closeFuture().addListener(future -> action.run());
    }

    /**
     * Tells whether the caller is still connected.
     *
     * @return {@code true} while the channel is open
     */
    public boolean connected() {
        return context.channel().isActive();
    }

    private void prepare(HttpResponse response) {
        String streamId = request.headers().get(STREAM_ID);
        if (streamId != null) {
            response.headers().set(STREAM_ID, streamId);
        } else if (closeAfter || !HttpUtil.isKeepAlive(request)) {
            response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
        }
    }
}
