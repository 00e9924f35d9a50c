package org.kingcuproad.gateway;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufAllocator;
import io.netty.buffer.CompositeByteBuf;
import io.netty.buffer.Unpooled;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import org.jspecify.annotations.Nullable;
import org.kingcuproad.policy.gateway.BodyAdmission;

/**
 * A request body. Its bytes are copied, so that it takes no more memory than was reserved, in however small parts it
 * arrives. The reservation ends when the last reference to the body is released.
 */
final class RequestBody extends CompositeByteBuf {

    /** Number of bytes that are reserved at a time for a large body of unknown size. */
    private static final int RESERVATION_BYTES = 256 << 10;

    /** Initial size of the buffer of a body of unknown size, which grows to that of a small body. */
    private static final int INITIAL_BYTES = 1 << 10;

    private final HeldMemory memory;
    private final List<ByteBuffer> blocks = new ArrayList<>();
    private final int smallLimitBytes;
    private long smallBytes;
    private long reservedBytes;
    private long receivedBytes;
    private @Nullable ByteBuf tail;

    /**
     * Creates an empty body.
     *
     * @param declaredBytes declared size, 0 if it is not known
     */
    RequestBody(ByteBufAllocator allocator, HeldMemory memory, long declaredBytes) {
        super(allocator, true, Integer.MAX_VALUE);
        this.memory = memory;
        if (declaredBytes > BodyAdmission.MAX_SMALL_BYTES) {
            smallLimitBytes = 0;
            reserve(declaredBytes);
        } else {
            smallLimitBytes = declaredBytes == 0 ? BodyAdmission.MAX_SMALL_BYTES : (int) declaredBytes;
        }
    }

    private static long wholeBlocks(long bytes) {
        return Math.ceilDiv(bytes, HeldMemory.BLOCK_BYTES) * HeldMemory.BLOCK_BYTES;
    }

    private void reserve(long bytes) {
        long rounded = wholeBlocks(bytes);
        memory.account().reserveLargeBody(rounded);
        reservedBytes += rounded;
    }

    /** Returns the number of bytes received so far. */
    long receivedBytes() {
        return receivedBytes;
    }

    /**
     * Appends bytes, which are copied.
     *
     * @return {@code false} if there is no memory for a body of this size
     */
    boolean append(ByteBuf content) {
        while (content.isReadable()) {
            ByteBuf current = tail == null ? nextTail() : tail;
            tail = current;
            if (current == null) {
                return false;
            }
            int count = Math.min(content.readableBytes(), current.maxWritableBytes());
            if (blocks.isEmpty() && !memory.account().hasRoomForSmallBody(count)) {
                return false;
            }
            current.writeBytes(content, count);
            receivedBytes += count;
            if (blocks.isEmpty()) {
                memory.account().add(current.capacity() - smallBytes);
                smallBytes = current.capacity();
            }
            if (current.maxWritableBytes() == 0) {
                complete();
            }
        }
        return true;
    }

    private @Nullable ByteBuf nextTail() {
        if (receivedBytes < smallLimitBytes) {
            return alloc().directBuffer(Math.min(INITIAL_BYTES, smallLimitBytes), smallLimitBytes);
        }
        if (blocks.size() * (long) HeldMemory.BLOCK_BYTES >= reservedBytes) {
            if (!memory.account().hasRoomForLargeBody(RESERVATION_BYTES)) {
                return null;
            }
            reserve(RESERVATION_BYTES);
        }
        ByteBuffer block = memory.takeBlock();
        blocks.add(block);
        return Unpooled.wrappedBuffer(block.clear()).clear();
    }

    /** Ends the body. */
    void complete() {
        ByteBuf last = tail;
        tail = null;
        if (last != null) {
            addComponent(true, last);
        }
    }

    @Override
    protected void deallocate() {
        ByteBuf unfinished = tail;
        tail = null;
        if (unfinished != null) {
            unfinished.release();
        }
        super.deallocate();
        blocks.forEach(memory::giveBack);
        memory.account().releaseLargeBody(reservedBytes);
        memory.account().remove(smallBytes);
    }
}
