package org.kingcuproad.gateway;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseEncoder;
import io.netty.handler.codec.http.HttpStatusClass;
import java.util.ArrayDeque;
import java.util.Queue;
import org.jspecify.annotations.Nullable;

/**
 * Encodes responses according to the methods of their requests, as {@link io.netty.handler.codec.http.HttpServerCodec}
 * does. That codec can't be replaced without losing the methods of the requests that are not answered yet.
 */
final class ClientResponseEncoder extends HttpResponseEncoder {

    private final Queue<HttpMethod> methods = new ArrayDeque<>();
    private @Nullable HttpMethod method;

    /** Records the method of a request that was received. */
    void onRequest(HttpMethod received) {
        methods.add(received);
    }

    @Override
    protected boolean isContentAlwaysEmpty(HttpResponse response) {
        if (response.status().codeClass() == HttpStatusClass.INFORMATIONAL) {
            // The final response to the same request is still to come.
            return super.isContentAlwaysEmpty(response);
        }
        method = methods.poll();
        return HttpMethod.HEAD.equals(method) || super.isContentAlwaysEmpty(response);
    }

    @Override
    protected void sanitizeHeadersBeforeEncode(HttpResponse response, boolean alwaysEmpty) {
        boolean connected =
                HttpMethod.CONNECT.equals(method) && response.status().codeClass() == HttpStatusClass.SUCCESS;
        if (connected && !alwaysEmpty) {
            response.headers().remove(HttpHeaderNames.TRANSFER_ENCODING);
        } else {
            super.sanitizeHeadersBeforeEncode(response, alwaysEmpty);
        }
    }
}
