package org.kingcuproad.runtime.http;

import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelDuplexHandler;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelPromise;
import io.netty.handler.codec.DecoderResult;
import io.netty.handler.codec.TooLongFrameException;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import java.util.ArrayDeque;
import org.kingcuproad.model.ErrorKind;
import org.tinylog.Logger;

/** Hands the requests of one connection or HTTP/2 stream to the handler, one at a time and in order. */
final class ExchangeHandler extends ChannelDuplexHandler {

    private final HttpHandler handler;
    private final ServerConnections connections;
    private final ArrayDeque<FullHttpRequest> waiting = new ArrayDeque<>();
    private boolean busy;

    ExchangeHandler(HttpHandler handler, ServerConnections connections) {
        this.handler = handler;
        this.connections = connections;
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
        if (!(message instanceof FullHttpRequest request)) {
            ReferenceCountUtil.release(message);
            return;
        }
        if (busy) {
            waiting.add(request);
        } else {
            begin(context, request);
        }
    }

    @Override
    public void write(ChannelHandlerContext context, Object message, ChannelPromise promise) {
        boolean last = message instanceof LastHttpContent;
        context.write(message, promise);
        if (last) {
            promise.addListener(future -> end(context));
        }
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        waiting.forEach(ReferenceCountUtil::release);
        waiting.clear();
        if (busy) {
            busy = false;
            connections.exchangeEnded();
        }
        context.fireChannelInactive();
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        Logger.debug(cause, "connection failed");
        context.close();
    }

    private void begin(ChannelHandlerContext context, FullHttpRequest request) {
        busy = true;
        connections.exchangeStarted();
        HttpExchange exchange = new HttpExchange(context, request, connections.draining());
        DecoderResult decoded = request.decoderResult();
        request.release();
        if (decoded.isFailure()) {
            rejectMalformed(context, exchange, decoded.cause());
            return;
        }
        try {
            handler.handle(exchange);
        } catch (RuntimeException failure) {
            Logger.error(failure, "request handler failed");
            Problems.respond(exchange, ErrorKind.INTERNAL, "unexpected fault", "");
        }
    }

    private static void rejectMalformed(ChannelHandlerContext context, HttpExchange exchange, Throwable cause) {
        ErrorKind kind = cause instanceof TooLongFrameException ? ErrorKind.HEADERS_TOO_LARGE : ErrorKind.BAD_REQUEST;
        String message = cause.getMessage();
        Problems.respond(exchange, kind, message == null ? kind.meaning() : message, "");
        context.write(Unpooled.EMPTY_BUFFER).addListener(ChannelFutureListener.CLOSE);
        context.flush();
    }

    private void end(ChannelHandlerContext context) {
        if (!busy) {
            return;
        }
        busy = false;
        connections.exchangeEnded();
        FullHttpRequest next = waiting.poll();
        if (next != null) {
            begin(context, next);
        }
    }
}
