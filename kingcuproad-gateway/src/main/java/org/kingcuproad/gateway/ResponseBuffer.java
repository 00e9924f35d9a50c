package org.kingcuproad.gateway;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import java.io.ByteArrayOutputStream;
import org.kingcuproad.policy.gateway.MemoryAccount;

/** Memory that one attempt holds for its response: a body that is not forwarded yet, or a part of an event. */
final class ResponseBuffer {

    /**
     * Non-streaming responses up to this size are buffered until they are complete, so that a broken one can be
     * replaced by a retry; larger ones are forwarded as they arrive.
     */
    private static final int MAX_BUFFERED_BYTES = 256 << 10;

    /** Size up to which a response is buffered also while memory is short. */
    private static final int MIN_BUFFERED_BYTES = 16 << 10;

    /** A buffer that grows takes up to twice the bytes that it holds. */
    private static final int BUFFER_GROWTH = 2;

    private final MemoryAccount account;
    private ByteArrayOutputStream body = new ByteArrayOutputStream();
    private long heldBytes;

    ResponseBuffer(MemoryAccount account) {
        this.account = account;
    }

    /**
     * Adds bytes of a body.
     *
     * @return whether the body may still be kept until it is complete
     */
    boolean add(ByteBuf bytes) {
        body.writeBytes(ByteBufUtil.getBytes(bytes));
        hold((long) body.size() * BUFFER_GROWTH);
        boolean memoryShort = body.size() > MIN_BUFFERED_BYTES && account.exhausted();
        return body.size() <= MAX_BUFFERED_BYTES && !memoryShort;
    }

    /** Returns a copy of the body so far. */
    byte[] body() {
        return body.toByteArray();
    }

    /** Returns the body so far, which is no longer held. */
    byte[] drain() {
        byte[] bytes = body.toByteArray();
        body = new ByteArrayOutputStream(0);
        hold(0);
        return bytes;
    }

    /** Sets the number of bytes that the attempt holds. */
    void hold(long bytes) {
        account.add(bytes - heldBytes);
        heldBytes = bytes;
    }
}
