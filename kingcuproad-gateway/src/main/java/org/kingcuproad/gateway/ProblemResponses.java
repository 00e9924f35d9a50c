package org.kingcuproad.gateway;

import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import org.kingcuproad.model.ErrorKind;

/** Creates the error responses that the gateway generates itself. */
final class ProblemResponses {

    private static final double MS_PER_SECOND = 1_000.0;

    private ProblemResponses() {}

    /**
     * Creates a response with a problem document.
     *
     * @param kind kind of the error
     * @param detail description of the error; must not contain characters that JSON escapes, such as quotes
     * @param retryAfterMs delay after which the client should retry, or a negative number for none
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
