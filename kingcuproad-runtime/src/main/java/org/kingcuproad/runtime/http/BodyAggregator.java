package org.kingcuproad.runtime.http;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http2.HttpConversionUtil;
import java.nio.charset.StandardCharsets;
import org.kingcuproad.model.ErrorKind;

/** Collects a request body up to the limit and answers larger ones with a problem document. */
final class BodyAggregator extends HttpObjectAggregator {

    private static final String STREAM_ID =
            HttpConversionUtil.ExtensionHeaderNames.STREAM_ID.text().toString();

    BodyAggregator(int maxBodyBytes) {
        super(maxBodyBytes);
    }

    @Override
    protected void handleOversizedMessage(ChannelHandlerContext context, HttpMessage oversized) {
        ErrorKind kind = ErrorKind.BODY_TOO_LARGE;
        ObjectNode problem = Problems.body(kind, "the limit is " + maxContentLength() + " bytes", "");
        byte[] content = problem.toString().getBytes(StandardCharsets.UTF_8);
        DefaultFullHttpResponse response = new DefaultFullHttpResponse(
                HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(kind.httpStatus()), Unpooled.wrappedBuffer(content));
        response.headers().set(HttpHeaderNames.CONTENT_TYPE, Problems.MEDIA_TYPE);
        response.headers().setInt(HttpHeaderNames.CONTENT_LENGTH, content.length);
        response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
        String streamId = oversized.headers().get(STREAM_ID);
        if (streamId != null) {
            response.headers().set(STREAM_ID, streamId);
        }
        context.writeAndFlush(response).addListener(ChannelFutureListener.CLOSE);
    }
}
