package org.kingcuproad.gateway;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpRequestEncoder;
import java.nio.charset.StandardCharsets;

/** Encodes requests to upstreams, with the bytes of the target that the client sent. */
final class UpstreamRequestEncoder extends HttpRequestEncoder {

    /** The decoder of client requests makes one character of each byte, while the default encoder writes UTF-8. */
    @Override
    protected void encodeInitialLine(ByteBuf buffer, HttpRequest request) throws Exception {
        if (request.uri().chars().allMatch(character -> character < 0x80)) {
            super.encodeInitialLine(buffer, request);
            return;
        }
        ByteBufUtil.copy(request.method().asciiName(), buffer);
        buffer.writeByte(' ');
        buffer.writeCharSequence(request.uri(), StandardCharsets.ISO_8859_1);
        buffer.writeByte(' ');
        buffer.writeCharSequence(request.protocolVersion().text(), StandardCharsets.US_ASCII);
        buffer.writeShort('\r' << Byte.SIZE | '\n');
    }
}
