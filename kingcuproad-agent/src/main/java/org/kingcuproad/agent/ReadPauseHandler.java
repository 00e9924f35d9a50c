package org.kingcuproad.agent;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOutboundHandlerAdapter;
import org.jspecify.annotations.Nullable;

/**
 * Pauses and resumes reading from one connection to the upstream.
 *
 * <p>Disabling auto-read is not sufficient, because the HTTP client requests another read after each one.
 */
final class ReadPauseHandler extends ChannelOutboundHandlerAdapter {

    private @Nullable ChannelHandlerContext context;
    private boolean paused;
    private boolean readPending;

    @Override
    public void handlerAdded(ChannelHandlerContext added) {
        context = added;
    }

    @Override
    public void read(ChannelHandlerContext reading) {
        if (paused) {
            readPending = true;
        } else {
            reading.read();
        }
    }

    /** Holds back reads until {@link #resume()}. */
    void pause() {
        paused = true;
        setAutoRead(false);
    }

    /** Permits reads again and issues one that was held back. */
    void resume() {
        if (!paused) {
            return;
        }
        paused = false;
        setAutoRead(true);
        if (readPending && context != null) {
            readPending = false;
            context.read();
        }
    }

    private void setAutoRead(boolean enabled) {
        if (context != null) {
            context.channel().config().setAutoRead(enabled);
        }
    }
}
