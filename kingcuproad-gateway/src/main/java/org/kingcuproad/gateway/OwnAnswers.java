package org.kingcuproad.gateway;

import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import org.kingcuproad.model.ErrorKind;

/** Answers that the gateway gives itself. */
final class OwnAnswers {

    private static final double MS_PER_SECOND = 1_000.0;

    private OwnAnswers() {}

    /**
     * Makes a problem document.
     *
     * @param kind kind of the error
     * @param detail what happened, without quotes
     * @param retryAfterMs time after which the client should come back, or a negative number
     */
    static DefaultFullHttpResponse problem(ErrorKind kind, String detail, long retryAfterMs) {
        byte[] body = ("{\"kind\":\"" + kind.label() + "\",\"execution\":\""
                        + kind.execution().label() + "\",\"detail\":\"" + detail + "\"}")
                .getBytes(StandardCharsets.UTF_8);
        DefaultFullHttpResponse response = new DefaultFullHttpResponse(
                HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(kind.httpStatus()), Unpooled.wrappedBuffer(body));
        response.headers()
                .set(HttpHeaderNames.CONTENT_TYPE, "application/problem+json")
                .set(HttpHeaderNames.CONTENT_LENGTH, body.length);
        if (retryAfterMs >= 0) {
            response.headers()
                    .set(HttpHeaderNames.RETRY_AFTER, String.format(Locale.ROOT, "%.3f", retryAfterMs / MS_PER_SECOND));
        }
        return response;
    }
}
