package org.kingcuproad.policy.stream;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.ByteArrayOutputStream;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;
import org.kingcuproad.model.ErrorKind;

/** A response must not be truncated, duplicated, mixed with another attempt or ended early. */
class ResponseStreamTest {

    private static final ResponseFrame.Head HEAD = new ResponseFrame.Head(200, List.of());

    /**
     * Transfers a response appended in several parts, losing the connection after each of the given numbers of frames.
     */
    private static byte[] transfer(
            byte[] body, int appends, int frameBytes, int[] disconnects, SplittableRandom random) {
        ResponseBuffer buffer = new ResponseBuffer(new BufferBudget(BufferBudget.DEFAULT_LIMIT_BYTES), 0);
        buffer.head(HEAD);
        ResponseAssembler assembler = new ResponseAssembler(1);
        ByteArrayOutputStream received = new ByteArrayOutputStream();
        List<ResponseFrame> lateFrames = new ArrayList<>();
        int written = 0;
        int frames = 0;
        int disconnect = 0;
        int reader = buffer.attach(0, false, 0).orElseThrow();
        for (int turn = 0; !assembler.isComplete(); turn++) {
            assertThat(turn).isLessThan(100_000);
            if (written < appends && buffer.mayReadUpstream()) {
                int from = body.length * written / appends;
                written++;
                assertThat(buffer.append(Bytes.wrap(body).slice(from, body.length * written / appends)))
                        .isTrue();
            } else if (written == appends) {
                buffer.end();
            }
            Optional<ResponseFrame> frame = buffer.next(reader, frameBytes);
            if (frame.isEmpty()) {
                continue;
            }
            if (disconnect < disconnects.length && frames++ == disconnects[disconnect]) {
                disconnect++;
                lateFrames.add(frame.get());
                buffer.detach(reader, turn);
                reader = buffer.attach(assembler.resumeOffset(), assembler.hasHead(), turn)
                        .orElseThrow();
                continue;
            }
            receive(assembler, frame.get(), received, buffer);
            if (!lateFrames.isEmpty()
                    && random.nextInt(4) == 0
                    && keepsConnectionOrder(assembler, lateFrames.getFirst())) {
                receive(assembler, lateFrames.removeFirst(), received, buffer);
            }
        }
        buffer.close();
        return received.toByteArray();
    }

    /** Frames of one connection arrive in order, so a delayed frame never starts beyond the bytes received so far. */
    private static boolean keepsConnectionOrder(ResponseAssembler assembler, ResponseFrame frame) {
        return frame instanceof ResponseFrame.Chunk chunk && chunk.offset() <= assembler.resumeOffset();
    }

    private static void receive(
            ResponseAssembler assembler, ResponseFrame frame, ByteArrayOutputStream received, ResponseBuffer buffer) {
        assertThat(assembler.accept(2, frame)).isInstanceOf(AssemblyStep.Drop.class);
        AssemblyStep step = assembler.accept(1, frame);
        assertThat(step).isNotInstanceOf(AssemblyStep.Abort.class);
        if (step instanceof AssemblyStep.DeliverBytes bytes) {
            received.writeBytes(bytes.data().toArray());
            assertThat(buffer.acknowledge(bytes.ackOffset())).isTrue();
        }
    }

    @Test
    void everyByteArrivesWhenTheConnectionIsLostAtAnyFrame() {
        SplittableRandom random = new SplittableRandom(7);
        byte[] body = new byte[2_000];
        random.nextBytes(body);
        for (int first = 0; first < 45; first++) {
            for (int second = first; second < 45; second++) {
                assertThat(transfer(body, 9, 60, new int[] {first, second}, random))
                        .isEqualTo(body);
            }
        }
        assertThat(transfer(new byte[0], 1, 60, new int[] {0, 1}, random)).isEmpty();
    }

    @Test
    void largeBodyArrivesWithinTheBufferLimit() {
        SplittableRandom random = new SplittableRandom(8);
        byte[] body = new byte[3_000_000];
        random.nextBytes(body);
        assertThat(transfer(body, 200, 7_000, new int[] {3, 50, 51, 200}, random))
                .isEqualTo(body);
    }

    @Test
    void overlappingChunkDeliversOnlyItsNewBytes() {
        ResponseAssembler assembler = new ResponseAssembler(1);
        assembler.accept(1, HEAD);
        assembler.accept(1, new ResponseFrame.Chunk(0, Bytes.wrap(new byte[] {0, 1})));
        AssemblyStep step = assembler.accept(1, new ResponseFrame.Chunk(1, Bytes.wrap(new byte[] {1, 2, 3})));
        assertThat(step).isEqualTo(new AssemblyStep.DeliverBytes(Bytes.wrap(new byte[] {2, 3}), 4));
        assertThat(assembler.accept(1, new ResponseFrame.End(4))).isEqualTo(new AssemblyStep.Complete());
    }

    @Test
    void gapsAndWrongLengthsAbortTheResponse() {
        assertThat(assemblerWithHead().accept(1, new ResponseFrame.Chunk(1, Bytes.wrap(new byte[1]))))
                .isInstanceOf(AssemblyStep.Abort.class);
        assertThat(assemblerWithHead().accept(1, new ResponseFrame.End(1))).isInstanceOf(AssemblyStep.Abort.class);
        ResponseAssembler withHead = assemblerWithHead();
        assertThat(withHead.startAttempt(2)).isFalse();
        ResponseAssembler withoutHead = new ResponseAssembler(1);
        assertThat(withoutHead.startAttempt(2)).isTrue();
        assertThat(withoutHead.accept(1, HEAD)).isInstanceOf(AssemblyStep.Drop.class);
        assertThat(withoutHead.accept(2, HEAD)).isInstanceOf(AssemblyStep.DeliverHead.class);
    }

    private static ResponseAssembler assemblerWithHead() {
        ResponseAssembler assembler = new ResponseAssembler(1);
        assembler.accept(1, HEAD);
        return assembler;
    }

    @Test
    void replacedReaderHasNoEffectAndDetachOfTheCurrentOneStartsTheTimeout() {
        ResponseBuffer buffer = new ResponseBuffer(new BufferBudget(100), 0);
        int first = buffer.attach(0, false, 0).orElseThrow();
        int second = buffer.attach(0, false, 5).orElseThrow();
        buffer.detach(first, 6);
        assertThat(buffer.expired(100_000)).isFalse();
        buffer.append(Bytes.wrap(new byte[150]));
        assertThat(buffer.next(first, 10)).isEmpty();
        assertThat(buffer.mayReadUpstream()).isFalse();
        assertThat(buffer.acknowledge(151)).isFalse();
        assertThat(buffer.acknowledge(150)).isTrue();
        assertThat(buffer.mayReadUpstream()).isTrue();
        buffer.detach(second, 10);
        assertThat(buffer.expired(10_009)).isFalse();
        assertThat(buffer.expired(10_010)).isTrue();
        assertThat(buffer.attach(150, true, 10_010)).isEmpty();
    }

    @Test
    void overflowIsReportedAfterTheBytesThatFit() {
        ResponseBuffer buffer = new ResponseBuffer(new BufferBudget(1 << 30), 0);
        buffer.head(HEAD);
        assertThat(buffer.append(Bytes.wrap(new byte[ResponseBuffer.MAX_UNACKNOWLEDGED_BYTES])))
                .isTrue();
        assertThat(buffer.mayReadUpstream()).isFalse();
        assertThat(buffer.append(Bytes.wrap(new byte[1]))).isFalse();
        int reader = buffer.attach(0, true, 1).orElseThrow();
        assertThat(buffer.next(reader, 1 << 20)).containsInstanceOf(ResponseFrame.Chunk.class);
        assertThat(buffer.next(reader, 1))
                .hasValueSatisfying(frame -> assertThat(frame)
                        .isInstanceOfSatisfying(
                                ResponseFrame.Failure.class,
                                failure -> assertThat(failure.kind()).isEqualTo(ErrorKind.ANSWER_INCOMPLETE)));
    }

    @Test
    void connectionIsAbandonedAfterThreeMissedHeartbeats() {
        HeartbeatMonitor monitor = new HeartbeatMonitor(0);
        assertThat(monitor.check(499)).isEqualTo(HeartbeatMonitor.Action.WAIT);
        assertThat(monitor.check(500)).isEqualTo(HeartbeatMonitor.Action.SEND);
        assertThat(monitor.check(501)).isEqualTo(HeartbeatMonitor.Action.WAIT);
        monitor.received(600);
        monitor.sent(2_000);
        assertThat(monitor.check(2_099)).isEqualTo(HeartbeatMonitor.Action.WAIT);
        assertThat(monitor.check(2_100)).isEqualTo(HeartbeatMonitor.Action.ABANDON);
    }
}
