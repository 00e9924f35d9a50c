package org.kingcuproad.gateway;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpRequestDecoder;
import io.netty.handler.codec.http.LastHttpContent;
import java.util.List;

/** Decodes requests with a limit of their headers, and knows when it may be replaced by one with another limit. */
final class ClientRequestDecoder extends HttpRequestDecoder {

    /**
     * Minimum limit of the request line, the usual one of HTTP servers; the configured header limit applies if it is
     * larger.
     */
    private static final int MAX_REQUEST_LINE_BYTES = 8_192;

    /** Maximum size of a body chunk in one message, the default of Netty. */
    private static final int MAX_CHUNK_BYTES = 8_192;

    private final int maxHeaderBytes;
    private final ClientResponseEncoder encoder;
    private boolean betweenRequests = true;

    /**
     * Creates a decoder that has received nothing.
     *
     * @param maxHeaderBytes maximum size of the headers, in bytes
     * @param encoder learns the method of each request
     */
    ClientRequestDecoder(int maxHeaderBytes, ClientResponseEncoder encoder) {
        super(new HttpDecoderConfig()
                .setMaxInitialLineLength(Math.max(MAX_REQUEST_LINE_BYTES, maxHeaderBytes))
                .setMaxHeaderSize(maxHeaderBytes)
                .setMaxChunkSize(MAX_CHUNK_BYTES));
        this.maxHeaderBytes = maxHeaderBytes;
        this.encoder = encoder;
    }

    int maxHeaderBytes() {
        return maxHeaderBytes;
    }

    /**
     * Returns whether no byte of an incomplete request has been decoded. Bytes that have only been received are passed
     * on to the decoder that replaces this one.
     */
    boolean betweenRequests() {
        return betweenRequests;
    }

    @Override
    protected void decode(ChannelHandlerContext context, ByteBuf buffer, List<Object> out) throws Exception {
        int decodedBefore = out.size();
        int readableBefore = buffer.readableBytes();
        super.decode(context, buffer, out);
        if (buffer.readableBytes() < readableBefore) {
            betweenRequests = false;
        }
        List<Object> decoded = out.subList(decodedBefore, out.size());
        for (Object message : decoded) {
            if (message instanceof HttpRequest request) {
                encoder.onRequest(request.method());
            }
            betweenRequests = message instanceof LastHttpContent;
        }
    }
}
