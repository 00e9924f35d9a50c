package org.kingcuproad.platform;

import io.netty.channel.Channel;
import io.netty.handler.codec.http.HttpHeaders;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.concurrent.atomic.AtomicBoolean;
import org.asynchttpclient.AsyncHandler;
import org.asynchttpclient.HttpResponseBodyPart;
import org.asynchttpclient.HttpResponseStatus;
import org.jspecify.annotations.Nullable;

/** Splits the response of a watch into lines and hands the messages to the listener. */
final class WatchStream implements AsyncHandler<Boolean>, Watch {

    /** Base64 makes a value of 1 MB a third longer; the rest leaves room for the key and the member names. */
    private static final int MAX_LINE_BYTES = ObjectStore.MAX_VALUE_BYTES * 3 / 2;

    private static final int OK = 200;
    private static final int GONE = 410;

    private final WatchListener listener;
    private final ByteArrayOutputStream line = new ByteArrayOutputStream();
    private final AtomicBoolean ended = new AtomicBoolean();
    private volatile @Nullable Channel channel;

    WatchStream(WatchListener listener) {
        this.listener = listener;
    }

    @Override
    public void cancel() {
        ended.set(true);
        Channel open = channel;
        if (open != null) {
            open.close();
        }
    }

    @Override
    public void onConnectionPooled(Channel connection) {
        channel = connection;
    }

    @Override
    public void onTcpConnectSuccess(InetSocketAddress address, Channel connection) {
        channel = connection;
    }

    @Override
    public State onStatusReceived(HttpResponseStatus status) {
        return switch (status.getStatusCode()) {
            case OK -> ended.get() ? State.ABORT : State.CONTINUE;
            case GONE -> end(new WatchEnd.HistoryLost());
            default -> end(new WatchEnd.Disconnected("the platform answered " + status.getStatusCode()));
        };
    }

    @Override
    public State onHeadersReceived(HttpHeaders headers) {
        return State.CONTINUE;
    }

    @Override
    public State onBodyPartReceived(HttpResponseBodyPart part) throws IOException {
        for (byte next : part.getBodyPartBytes()) {
            if (ended.get()) {
                return State.ABORT;
            }
            if (next == '\n') {
                listener.onEvent(PlatformMessages.event(line.toByteArray()));
                line.reset();
            } else if (line.size() == MAX_LINE_BYTES) {
                return end(new WatchEnd.Disconnected("a line exceeds " + MAX_LINE_BYTES + " bytes"));
            } else {
                line.write(next);
            }
        }
        return State.CONTINUE;
    }

    @Override
    public void onThrowable(Throwable failure) {
        end(new WatchEnd.Disconnected(failure.getClass().getSimpleName() + ": " + failure.getMessage()));
    }

    @Override
    public Boolean onCompleted() {
        end(new WatchEnd.Disconnected("the platform ended the watch"));
        return Boolean.TRUE;
    }

    private State end(WatchEnd end) {
        if (ended.compareAndSet(false, true)) {
            listener.onEnded(end);
        }
        return State.ABORT;
    }
}
