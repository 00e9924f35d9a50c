package org.kingcuproad.agent;

import io.netty.channel.Channel;
import io.netty.channel.ChannelHandler;
import io.netty.handler.codec.http.EmptyHttpHeaders;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.asynchttpclient.AsyncHandler;
import org.asynchttpclient.HttpResponseBodyPart;
import org.asynchttpclient.HttpResponseStatus;
import org.asynchttpclient.netty.request.NettyRequest;
import org.jspecify.annotations.Nullable;
import org.kingcuproad.policy.gateway.ExpectedResponse;
import org.kingcuproad.policy.gateway.ResponseFraming;

/** Forwards the events of one upstream response to its listener, and pauses and resumes reading. */
final class UpstreamHandler implements AsyncHandler<Boolean>, UpstreamCall {

    private static final long LENGTH_NOT_DECLARED = -1;

    private final UpstreamListener listener;
    private final ExpectedResponse expected;
    private final long maxBodyBytes;
    private @Nullable Channel channel;
    private int status;
    private long declaredLength = LENGTH_NOT_DECLARED;
    private long receivedLength;
    private boolean headReceived;
    private boolean ended;

    /**
     * Creates a handler of one response.
     *
     * @param listener receives the response
     * @param expected the request that the response has to answer
     * @param maxBodyBytes size of the body from which the response fails
     */
    UpstreamHandler(UpstreamListener listener, ExpectedResponse expected, long maxBodyBytes) {
        this.listener = listener;
        this.expected = expected;
        this.maxBodyBytes = maxBodyBytes;
    }

    @Override
    public void onTcpConnectSuccess(InetSocketAddress address, Channel connected) {
        useChannel(connected);
    }

    @Override
    public void onConnectionPooled(Channel connected) {
        useChannel(connected);
    }

    @Override
    public void onRequestSend(NettyRequest request) {
        if (!ended) {
            listener.onSend();
        }
    }

    @Override
    public State onStatusReceived(HttpResponseStatus received) {
        status = received.getStatusCode();
        return nextState();
    }

    @Override
    public State onHeadersReceived(HttpHeaders headers) {
        if (ended) {
            return State.ABORT;
        }
        headReceived = true;
        String contentLength = headers.get(HttpHeaderNames.CONTENT_LENGTH);
        declaredLength = contentLength == null ? LENGTH_NOT_DECLARED : Long.parseLong(contentLength.strip());
        List<Map.Entry<String, String>> forwardedHeaders = headers.entries().stream()
                .filter(header -> !UnforwardedHeaders.contains(header.getKey()))
                .toList();
        listener.onHead(status, forwardedHeaders);
        return nextState();
    }

    @Override
    public State onBodyPartReceived(HttpResponseBodyPart part) throws IOException {
        if (ended) {
            return State.ABORT;
        }
        receiveEmptyHead();
        byte[] data = part.getBodyPartBytes();
        if (data.length > 0) {
            receivedLength += data.length;
            if (receivedLength > maxBodyBytes) {
                throw new IOException("the response body exceeds " + maxBodyBytes + " bytes");
            }
            listener.onBody(data);
        }
        return nextState();
    }

    @Override
    public Boolean onCompleted() {
        resumeReading();
        if (ended) {
            return false;
        }
        receiveEmptyHead();
        ended = true;
        if (framing() == ResponseFraming.CONNECTION) {
            listener.onFailure(new IOException(
                    "the response has neither Content-Length nor chunked encoding, so its end cannot be verified"));
        } else if (declaredLength > receivedLength && receivedLength > 0) {
            listener.onFailure(new IOException("the response body is shorter than its Content-Length"));
        } else {
            listener.onComplete();
        }
        return true;
    }

    /** Reports a head without any headers, for which the client does not call {@link #onHeadersReceived}. */
    private void receiveEmptyHead() {
        if (!headReceived) {
            onHeadersReceived(EmptyHttpHeaders.INSTANCE);
        }
    }

    @Override
    public void onThrowable(Throwable failure) {
        if (!ended) {
            ended = true;
            listener.onFailure(failure);
        }
    }

    @Override
    public void pauseReading() {
        handler(ReadPauseHandler.class).ifPresent(ReadPauseHandler::pause);
    }

    @Override
    public void resumeReading() {
        handler(ReadPauseHandler.class).ifPresent(ReadPauseHandler::resume);
    }

    @Override
    public void cancel() {
        ended = true;
        if (channel != null) {
            channel.close();
        }
    }

    private void useChannel(Channel connected) {
        channel = connected;
        handler(ResponseHeadHandler.class).ifPresent(handler -> handler.expect(expected));
        if (ended) {
            connected.close();
        }
    }

    private ResponseFraming framing() {
        return handler(ResponseHeadHandler.class)
                .map(ResponseHeadHandler::framing)
                .orElse(ResponseFraming.CONNECTION);
    }

    private <T extends ChannelHandler> Optional<T> handler(Class<T> type) {
        return Optional.ofNullable(channel)
                .map(connected -> connected.pipeline().get(type));
    }

    private State nextState() {
        return ended ? State.ABORT : State.CONTINUE;
    }
}
