package org.kingcuproad.agent;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.util.ByteProcessor;
import io.netty.util.ReferenceCountUtil;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.util.Optional;

/**
 * Holds back the bytes of a response until its head is judged. Informational responses go no further, and after an
 * improper head the connection is closed.
 *
 * <p>The HTTP client accepts status lines that the protocol does not have and repairs them, so what it reports cannot
 * be judged. On status 100 it would send the request body again.
 */
final class ResponseHeadHandler extends ChannelInboundHandlerAdapter {

    /** Maximum size of one head, in bytes. */
    private static final int MAX_HEAD_BYTES = 16 << 10;

    /** Maximum size of all informational responses before a response, in bytes. */
    private static final int MAX_SKIPPED_BYTES = 64 << 10;

    private final ByteArrayOutputStream received = new ByteArrayOutputStream();
    private State state = State.IN_HEAD;
    private int skippedBytes;

    private enum State {
        IN_HEAD,
        ACCEPTED,
        REJECTED
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) throws IOException {
        if (state == State.ACCEPTED || !(message instanceof ByteBuf data)) {
            context.fireChannelRead(message);
            return;
        }
        try {
            if (state == State.IN_HEAD) {
                receive(context, data);
            }
        } finally {
            ReferenceCountUtil.release(data);
        }
    }

    private void receive(ChannelHandlerContext context, ByteBuf data) throws IOException {
        boolean lineEnds = data.forEachByte(ByteProcessor.FIND_LF) >= 0;
        data.readBytes(received, data.readableBytes());
        if (lineEnds) {
            judge(context);
        }
        if (state == State.IN_HEAD && (received.size() > MAX_HEAD_BYTES || skippedBytes > MAX_SKIPPED_BYTES)) {
            reject(context, "head or informational responses without end");
        }
    }

    private void judge(ChannelHandlerContext context) {
        byte[] bytes = received.toByteArray();
        int start = 0;
        Optional<RawResponseHead> head = RawResponseHead.read(bytes, start);
        while (head.isPresent()) {
            RawResponseHead current = head.get();
            Optional<String> fault = current.fault();
            if (fault.isPresent()) {
                reject(context, fault.get());
                return;
            }
            if (!current.informational()) {
                state = State.ACCEPTED;
                received.reset();
                context.fireChannelRead(Unpooled.wrappedBuffer(bytes, start, bytes.length - start));
                return;
            }
            start = current.end();
            head = RawResponseHead.read(bytes, start);
        }
        skippedBytes += start;
        received.reset();
        received.write(bytes, start, bytes.length - start);
    }

    private void reject(ChannelHandlerContext context, String reason) {
        state = State.REJECTED;
        received.reset();
        context.fireExceptionCaught(new IOException("improper response: " + reason));
        context.close();
    }
}
