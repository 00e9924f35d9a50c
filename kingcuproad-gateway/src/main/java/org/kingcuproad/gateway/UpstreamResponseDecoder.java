package org.kingcuproad.gateway;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.DecoderResult;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseDecoder;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.function.BooleanSupplier;
import org.kingcuproad.policy.gateway.StatusLine;

/**
 * Decodes the responses of an upstream. A response has to begin with a status line; the library skips what comes before
 * one and reads many lines that are none.
 */
final class UpstreamResponseDecoder extends HttpResponseDecoder {

    private static final byte LINE_FEED = '\n';
    private static final byte[] VERSION_PREFIX = "HTTP/1.".getBytes(StandardCharsets.US_ASCII);

    private final BooleanSupplier bodiless;
    private boolean inMessage;

    /**
     * Creates a decoder of a new connection.
     *
     * @param bodiless tells whether responses to the request in progress have no body
     */
    UpstreamResponseDecoder(BooleanSupplier bodiless) {
        this.bodiless = bodiless;
    }

    /** Returns whether all bytes that were read belong to complete responses. */
    boolean betweenResponses() {
        return !inMessage && actualReadableBytes() == 0;
    }

    @Override
    protected boolean isContentAlwaysEmpty(HttpMessage message) {
        return bodiless.getAsBoolean() || super.isContentAlwaysEmpty(message);
    }

    @Override
    protected void decode(ChannelHandlerContext context, ByteBuf buffer, List<Object> decoded) throws Exception {
        if (!inMessage && !beginMessage(buffer, decoded)) {
            return;
        }
        int before = decoded.size();
        super.decode(context, buffer, decoded);
        onDecoded(decoded, before);
    }

    @Override
    protected void decodeLast(ChannelHandlerContext context, ByteBuf buffer, List<Object> decoded) throws Exception {
        int before = decoded.size();
        super.decodeLast(context, buffer, decoded);
        onDecoded(decoded, before);
    }

    private void onDecoded(List<Object> decoded, int before) {
        if (decoded.size() > before && decoded.getLast() instanceof LastHttpContent) {
            inMessage = false;
        }
    }

    /** Returns whether a message begins, once its status line has arrived. */
    private boolean beginMessage(ByteBuf buffer, List<Object> decoded) {
        int begin = buffer.readerIndex();
        int lineEnd = buffer.indexOf(begin, buffer.writerIndex(), LINE_FEED);
        if (lineEnd < 0 && buffer.readableBytes() < StatusLine.MAX_BYTES && mayBegin(buffer)) {
            return false;
        }
        inMessage = lineEnd >= 0
                && StatusLine.isValid(buffer.toString(begin, lineEnd - begin, StandardCharsets.ISO_8859_1));
        if (!inMessage) {
            buffer.skipBytes(buffer.readableBytes());
            decoded.add(malformed());
        }
        return inMessage;
    }

    private static boolean mayBegin(ByteBuf buffer) {
        for (int i = 0; i < Math.min(VERSION_PREFIX.length, buffer.readableBytes()); i++) {
            if (buffer.getByte(buffer.readerIndex() + i) != VERSION_PREFIX[i]) {
                return false;
            }
        }
        return true;
    }

    private static HttpResponse malformed() {
        HttpResponse response = new DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.BAD_GATEWAY);
        response.setDecoderResult(DecoderResult.failure(new IllegalArgumentException("no status line")));
        return response;
    }
}
