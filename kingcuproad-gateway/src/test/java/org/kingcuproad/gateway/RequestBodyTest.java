package org.kingcuproad.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufAllocator;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import java.io.OutputStream;
import java.util.Random;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.kingcuproad.policy.gateway.MemoryAccount;
import org.kingcuproad.runtime.log.DecisionLog;
import org.kingcuproad.runtime.log.LineSink;

/** Guards against bodies that take more memory than their bytes, or keep it after the last reference to them. */
class RequestBodyTest {

    private static final int MEGABYTE = 1 << 20;

    private final MemoryAccount account = new MemoryAccount(8 * MEGABYTE);
    private final HeldMemory memory = new HeldMemory(
            account,
            new ProcessMetrics(),
            new DecisionLog(new LineSink(OutputStream.nullOutputStream()), System::currentTimeMillis));

    private RequestBody body(long declaredBytes) {
        return new RequestBody(ByteBufAllocator.DEFAULT, memory, declaredBytes);
    }

    private static byte[] bytes(int count) {
        byte[] bytes = new byte[count];
        new Random(1).nextBytes(bytes);
        return bytes;
    }

    @ParameterizedTest
    @CsvSource({"200, 200, 1", "200, 0, 1", "65536, 65536, 1000", "65537, 0, 1", "300000, 0, 1", "300000, 300000, 7000"
    })
    void holdsTheBytesAndGivesTheMemoryBack(int size, int declaredBytes, int partBytes) {
        byte[] sent = bytes(size);
        for (int round = 0; round < 2; round++) {
            RequestBody body = body(declaredBytes);
            for (int offset = 0; offset < size; offset += partBytes) {
                ByteBuf part = Unpooled.wrappedBuffer(sent, offset, Math.min(partBytes, size - offset));
                assertThat(body.append(part)).isTrue();
            }
            body.complete();
            ByteBuf sentOn = body.retainedDuplicate();
            assertThat(body.isDirect()).isTrue();
            assertThat(account.heldBytes()).isBetween((long) size, size + 512L * 1024);
            body.release();
            assertThat(ByteBufUtil.getBytes(sentOn)).isEqualTo(sent);
            sentOn.release();
        }
        account.add(8 * MEGABYTE - account.heldBytes());
        assertThat(account.hasRoomForLargeBody(0))
                .as("all blocks are free again")
                .isTrue();
    }

    @Test
    void refusesMoreBytesThanThereIsMemoryFor() {
        RequestBody body = body(0);
        ByteBuf part = Unpooled.wrappedBuffer(bytes(MEGABYTE));
        int accepted = 0;
        while (accepted < 100 && body.append(part.duplicate())) {
            accepted++;
        }
        assertThat(accepted).isBetween(5, 6);
        body.release();
        assertThat(account.hasRoomForLargeBody(6 * MEGABYTE)).isTrue();
    }

    @Test
    void releasesABodyThatIsNotComplete() {
        RequestBody body = body(MEGABYTE);
        assertThat(body.append(Unpooled.wrappedBuffer(bytes(1_000)))).isTrue();
        body.release();
        assertThat(account.hasRoomForLargeBody(6 * MEGABYTE)).isTrue();
    }
}
