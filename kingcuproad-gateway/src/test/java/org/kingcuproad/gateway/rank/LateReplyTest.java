package org.kingcuproad.gateway.rank;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.channel.nio.NioEventLoopGroup;
import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.stream.LongStream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.kingcuproad.gateway.Clock;
import org.kingcuproad.gateway.ProcessMetrics;
import org.kingcuproad.gateway.RepeatingServer;
import org.kingcuproad.policy.lockstep.EngineOrder;
import org.kingcuproad.policy.lockstep.ExpertPlacement;
import org.kingcuproad.policy.lockstep.GroupShape;
import org.kingcuproad.policy.lockstep.RankState;
import org.kingcuproad.runtime.log.DecisionLog;
import org.kingcuproad.runtime.log.LineSink;

/**
 * Guards against an engine that answers twice: a second response to one call that arrives alone while the next call of
 * the connection is in progress can't be told from the response to that one.
 */
class LateReplyTest {

    private static final long EPOCH = 3;
    private static final int RANKS = 2;
    private static final GroupShape SHAPE = new GroupShape(2, 6, 4, 1);

    private final NioEventLoopGroup loops = new NioEventLoopGroup(1);
    private final DecisionLog log =
            new DecisionLog(new LineSink(OutputStream.nullOutputStream()), System::currentTimeMillis);

    @AfterEach
    void close() throws Exception {
        loops.shutdownGracefully(0, 1, TimeUnit.SECONDS).sync();
    }

    private boolean accepted(EngineOrderSender sender, EngineOrder order) throws Exception {
        CompletableFuture<Boolean> answer = new CompletableFuture<>();
        loops.next().execute(() -> sender.send(order, EPOCH, answer::complete));
        return answer.get(2, TimeUnit.SECONDS);
    }

    /** Ranks are armed once a hold is accepted, so the group would begin the pass with two maps. */
    @Test
    void takesNoLateCopyForTheAnswerToAHold() throws Exception {
        ExpertPlacement map = ExpertPlacement.initial(SHAPE, RANKS);
        try (RepeatingServer engine =
                new RepeatingServer(request -> RepeatingServer.response(request.contains("Hold") ? 409 : 202, "{}"))) {
            EngineOrderSender sender = new EngineOrderSender(
                    new Dialect(), loops.next(), engine.address(), Clock.SYSTEM, log, new ProcessMetrics());

            assertThat(accepted(sender, new EngineOrder.Prepare(7, map))).isTrue();
            assertThat(accepted(sender, new EngineOrder.Hold(12))).isFalse();
        }
    }

    /** The list doesn't say which epoch it belongs to. */
    @Test
    void takesNoLateCopyForTheExpertsOfTheNextEpoch() throws Exception {
        AtomicInteger version = new AtomicInteger();
        try (RepeatingServer engine = new RepeatingServer(
                request -> RepeatingServer.response(200, Integer.toString(version.incrementAndGet())))) {
            ExpertReader reader = new ExpertReader(new Dialect(), new ReplyReader(log), loops.next(), engine.address());

            assertThat(heldVersion(reader, EPOCH)).isEqualTo(1);
            assertThat(heldVersion(reader, EPOCH + 1)).isEqualTo(2);
        }
    }

    private long heldVersion(ExpertReader reader, long epoch) throws Exception {
        CompletableFuture<Void> read = new CompletableFuture<>();
        loops.next().execute(() -> reader.readHeldExperts(epoch, () -> read.complete(null)));
        read.get(2, TimeUnit.SECONDS);
        return LongStream.rangeClosed(0, 3)
                .filter(version -> reader.heldExperts(new RankState(
                                1, epoch, true, 0, version, RankState.NONE, RankState.NONE, RankState.NONE, 0))
                        .isPresent())
                .findFirst()
                .orElse(RankState.NONE);
    }

    /** Bodies that consist of the order's name or the map's version. */
    private static final class Dialect implements EngineDialect {

        @Override
        public String reportTarget() {
            return "/report";
        }

        @Override
        public EngineReport readReport(byte[] body) throws IOException {
            throw new IOException("no report");
        }

        @Override
        public String countersTarget() {
            return "/counters";
        }

        @Override
        public long[] readCounters(byte[] body) {
            return new long[0];
        }

        @Override
        public String expertsTarget() {
            return "/experts";
        }

        @Override
        public HeldExperts readExperts(byte[] body) {
            return new HeldExperts(Long.parseLong(new String(body, StandardCharsets.UTF_8)), new int[][] {{1}});
        }

        @Override
        public String orderTarget() {
            return "/order";
        }

        @Override
        public byte[] writeOrder(EngineOrder order, long epoch) {
            return ("{\"op\":\"" + order.getClass().getSimpleName() + "\"}").getBytes(StandardCharsets.UTF_8);
        }
    }
}
