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
import java.util.Set;
import org.kingcuproad.policy.gateway.ExpectedResponse;
import org.kingcuproad.policy.gateway.HeadVerdict;
import org.kingcuproad.policy.gateway.ResponseFraming;

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
    private ExpectedResponse request = new ExpectedResponse("", false, Set.of());
    private ResponseFraming framing = ResponseFraming.CONNECTION;
    private int skippedBytes;

    private enum State {
        IN_HEAD,
        ACCEPTED,
        REJECTED
    }

    /**
     * Sets the only request of the connection, before it is sent.
     *
     * @param expected the request
     */
    void expect(ExpectedResponse expected) {
        request = expected;
    }

    /** Returns how the response says where its body ends. */
    ResponseFraming framing() {
        return framing;
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
            switch (UpstreamResponseRule.verdict(head.get(), request)) {
                case HeadVerdict.Answer answer -> {
                    accept(context, answer.framing(), Unpooled.wrappedBuffer(bytes, start, bytes.length - start));
                    return;
                }
                case HeadVerdict.Improper improper -> {
                    reject(context, improper.reason());
                    return;
                }
                case HeadVerdict.LateCopy copy -> {
                    reject(context, "response to request " + copy.requestId());
                    return;
                }
                case HeadVerdict.Informational ignored -> start = head.get().end();
            }
            head = RawResponseHead.read(bytes, start);
        }
        skippedBytes += start;
        received.reset();
        received.write(bytes, start, bytes.length - start);
    }

    private void accept(ChannelHandlerContext context, ResponseFraming acceptedFraming, ByteBuf response) {
        state = State.ACCEPTED;
        framing = acceptedFraming;
        received.reset();
        context.fireChannelRead(response);
    }

    private void reject(ChannelHandlerContext context, String reason) {
        state = State.REJECTED;
        received.reset();
        context.fireExceptionCaught(new IOException("improper response: " + reason));
        context.close();
    }
}
