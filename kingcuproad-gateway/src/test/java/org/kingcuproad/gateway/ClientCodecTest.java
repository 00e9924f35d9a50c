package org.kingcuproad.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** Guards against differences between the handlers of client connections and the codec that they stand in for. */
class ClientCodecTest {

    private static final int MAX_HEADER_BYTES = 8_192;

    private final EmbeddedChannel channel = createChannel();

    private static EmbeddedChannel createChannel() {
        ClientResponseEncoder encoder = new ClientResponseEncoder();
        return new EmbeddedChannel(new ClientRequestDecoder(MAX_HEADER_BYTES, encoder), encoder);
    }

    @AfterEach
    void close() {
        channel.finishAndReleaseAll();
    }

    private void receive(String bytes) {
        channel.writeInbound(Unpooled.copiedBuffer(bytes, StandardCharsets.US_ASCII));
    }

    private String send(HttpResponseStatus status, String body) {
        DefaultFullHttpResponse response = new DefaultFullHttpResponse(
                HttpVersion.HTTP_1_1, status, Unpooled.copiedBuffer(body, StandardCharsets.US_ASCII));
        if (!body.isEmpty()) {
            response.headers().set(HttpHeaderNames.CONTENT_LENGTH, body.length());
        }
        channel.writeOutbound(response);
        StringBuilder sent = new StringBuilder();
        for (ByteBuf part = channel.readOutbound(); part != null; part = channel.readOutbound()) {
            sent.append(part.toString(StandardCharsets.US_ASCII));
            part.release();
        }
        return sent.toString();
    }

    /** An interim response is none to the request whose method is next. */
    @Test
    void keepsTheBodyOfAResponseAfterAnInterimResponseIfAHeadRequestFollows() {
        receive("POST /a HTTP/1.1\r\nHost: a\r\nExpect: 100-continue\r\nContent-Length: 2\r\n\r\n");
        assertThat(send(HttpResponseStatus.CONTINUE, "")).startsWith("HTTP/1.1 100 ");
        receive("abHEAD /a HTTP/1.1\r\nHost: a\r\n\r\n");

        assertThat(send(HttpResponseStatus.OK, "stock")).endsWith("\r\n\r\nstock");
        assertThat(send(HttpResponseStatus.OK, "stock")).endsWith("\r\n\r\n");
    }
}
