package org.kingcuproad.gateway;

import io.netty.handler.codec.TooLongFrameException;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpUtil;
import java.util.Optional;
import org.kingcuproad.model.ErrorKind;
import org.kingcuproad.policy.gateway.ClientLimits;

/** Checks the line and headers of a request before its body is read. */
final class RequestHeadCheck {

    private RequestHeadCheck() {}

    /** Returns why a request is refused, or empty if its body may be read. */
    static Optional<ErrorKind> defect(HttpRequest request, ClientLimits limits) {
        if (request.decoderResult().isFailure()) {
            boolean tooLong = request.decoderResult().cause() instanceof TooLongFrameException;
            return Optional.of(tooLong ? ErrorKind.HEADERS_TOO_LARGE : ErrorKind.BAD_REQUEST);
        }
        boolean ambiguousLength = request.headers().contains(HttpHeaderNames.TRANSFER_ENCODING)
                && request.headers().contains(HttpHeaderNames.CONTENT_LENGTH);
        if (ambiguousLength || request.headers().getAll(HttpHeaderNames.HOST).size() > 1) {
            return Optional.of(ErrorKind.BAD_REQUEST);
        }
        return HttpUtil.getContentLength(request, 0L) > limits.maxBodyBytes()
                ? Optional.of(ErrorKind.BODY_TOO_LARGE)
                : Optional.empty();
    }
}
