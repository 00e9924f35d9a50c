package org.kingcuproad.agent;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOutboundHandlerAdapter;
import org.jspecify.annotations.Nullable;

/**
 * Holds back the reading of one connection to the upstream.
 *
 * <p>The HTTP client asks for a further read after each one, which would go on although automatic reading is off.
 */
final class ReadGate extends ChannelOutboundHandlerAdapter {

    private @Nullable ChannelHandlerContext context;
    private boolean closed;
    private boolean held;

    @Override
    public void handlerAdded(ChannelHandlerContext added) {
        context = added;
    }

    @Override
    public void read(ChannelHandlerContext reading) {
        if (closed) {
            held = true;
        } else {
            reading.read();
        }
    }

    /** Lets no read pass until {@link #open()}. */
    void close() {
        closed = true;
        setAutoRead(false);
    }

    /** Lets reads pass, also one that was held back. */
    void open() {
        if (!closed) {
            return;
        }
        closed = false;
        setAutoRead(true);
        if (held && context != null) {
            held = false;
            context.read();
        }
    }

    private void setAutoRead(boolean automatic) {
        if (context != null) {
            context.channel().config().setAutoRead(automatic);
        }
    }
}
