package org.kingcuproad.policy.stream;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.ByteArrayOutputStream;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;
import org.kingcuproad.model.ErrorKind;

/** Guards against a response that is cut, repeated, mixed with another attempt or ended early. */
class ResponseStreamTest {

    private static final ResponseFrame.Head HEAD = new ResponseFrame.Head(200, List.of());

    /** Sends a response in pieces and cuts the connection after the given numbers of frames. */
    private static byte[] transfer(byte[] body, int pieces, int frameBytes, int[] cuts, SplittableRandom random) {
        ResponseBuffer buffer = new ResponseBuffer(new BufferBudget(BufferBudget.DEFAULT_LIMIT_BYTES), 0);
        buffer.head(HEAD);
        ResponseAssembler assembler = new ResponseAssembler(1);
        ByteArrayOutputStream received = new ByteArrayOutputStream();
        List<ResponseFrame> late = new ArrayList<>();
        int written = 0;
        int frames = 0;
        int cut = 0;
        int reader = buffer.attach(0, false, 0).orElseThrow();
        for (int turn = 0; !assembler.isComplete(); turn++) {
            assertThat(turn).isLessThan(100_000);
            if (written < pieces && buffer.mayReadUpstream()) {
                int from = body.length * written / pieces;
                written++;
                assertThat(buffer.append(Bytes.wrap(body).slice(from, body.length * written / pieces)))
                        .isTrue();
            } else if (written == pieces) {
                buffer.end();
            }
            Optional<ResponseFrame> frame = buffer.next(reader, frameBytes);
            if (frame.isEmpty()) {
                continue;
            }
            if (cut < cuts.length && frames++ == cuts[cut]) {
                cut++;
                late.add(frame.get());
                buffer.detach(reader, turn);
                reader = buffer.attach(assembler.resumeOffset(), assembler.hasHead(), turn)
                        .orElseThrow();
                continue;
            }
            receive(assembler, frame.get(), received, buffer);
            if (!late.isEmpty() && random.nextInt(4) == 0 && inOrder(assembler, late.getFirst())) {
                receive(assembler, late.removeFirst(), received, buffer);
            }
        }
        buffer.close();
        return received.toByteArray();
    }

    /** Frames of one connection arrive in order, so a late frame never lies above what arrived before it. */
    private static boolean inOrder(ResponseAssembler assembler, ResponseFrame frame) {
        return frame instanceof ResponseFrame.Chunk chunk && chunk.offset() <= assembler.resumeOffset();
    }

    private static void receive(
            ResponseAssembler assembler, ResponseFrame frame, ByteArrayOutputStream received, ResponseBuffer buffer) {
        assertThat(assembler.accept(2, frame)).isInstanceOf(AssemblyStep.Drop.class);
        AssemblyStep step = assembler.accept(1, frame);
        assertThat(step).isNotInstanceOf(AssemblyStep.Break.class);
        if (step instanceof AssemblyStep.DeliverBytes bytes) {
            received.writeBytes(bytes.data().toArray());
            assertThat(buffer.acknowledge(bytes.ackOffset())).isTrue();
        }
    }

    @Test
    void everyByteArrivesWithACutAtEveryFrame() {
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
    void aLargeBodyStaysBelowTheLimitAndArrives() {
        SplittableRandom random = new SplittableRandom(8);
        byte[] body = new byte[3_000_000];
        random.nextBytes(body);
        assertThat(transfer(body, 200, 7_000, new int[] {3, 50, 51, 200}, random))
                .isEqualTo(body);
    }

    @Test
    void aLateFrameThatEndsInsideTheNextOneLosesNothing() {
        ResponseAssembler assembler = new ResponseAssembler(1);
        assembler.accept(1, HEAD);
        assembler.accept(1, new ResponseFrame.Chunk(0, Bytes.wrap(new byte[] {0, 1})));
        AssemblyStep step = assembler.accept(1, new ResponseFrame.Chunk(1, Bytes.wrap(new byte[] {1, 2, 3})));
        assertThat(step).isEqualTo(new AssemblyStep.DeliverBytes(Bytes.wrap(new byte[] {2, 3}), 4));
        assertThat(assembler.accept(1, new ResponseFrame.End(4))).isEqualTo(new AssemblyStep.Complete());
    }

    @Test
    void gapsAndWrongEndsBreakTheResponse() {
        assertThat(started().accept(1, new ResponseFrame.Chunk(1, Bytes.wrap(new byte[1]))))
                .isInstanceOf(AssemblyStep.Break.class);
        assertThat(started().accept(1, new ResponseFrame.End(1))).isInstanceOf(AssemblyStep.Break.class);
        ResponseAssembler begun = started();
        assertThat(begun.startAttempt(2)).isFalse();
        ResponseAssembler fresh = new ResponseAssembler(1);
        assertThat(fresh.startAttempt(2)).isTrue();
        assertThat(fresh.accept(1, HEAD)).isInstanceOf(AssemblyStep.Drop.class);
        assertThat(fresh.accept(2, HEAD)).isInstanceOf(AssemblyStep.DeliverHead.class);
    }

    private static ResponseAssembler started() {
        ResponseAssembler assembler = new ResponseAssembler(1);
        assembler.accept(1, HEAD);
        return assembler;
    }

    @Test
    void aReplacedReaderHasNoEffectAndTheLastOneStartsTheExpiry() {
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
    void anOverflowIsAFailureAfterTheBytesThatFit() {
        ResponseBuffer buffer = new ResponseBuffer(new BufferBudget(1 << 30), 0);
        buffer.head(HEAD);
        assertThat(buffer.append(Bytes.wrap(new byte[ResponseBuffer.LIMIT_BYTES])))
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
    void aSilentConnectionIsAbandonedAfterThreeMissedHeartbeats() {
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
