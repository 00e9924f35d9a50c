package org.kingcuproad.gateway.rank;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.stream.Stream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import org.kingcuproad.policy.lockstep.ChoiceSample;
import org.kingcuproad.policy.lockstep.DesiredRankState;
import org.kingcuproad.policy.lockstep.ExpertPlacement;
import org.kingcuproad.policy.lockstep.MapDelta;
import org.kingcuproad.policy.lockstep.RankState;

/** Guards against a mismatch between writing and reading the datagrams that the agents of a group exchange. */
class RankMessageTest {

    private static final ExpertPlacement MAP =
            ExpertPlacement.of(new int[][][] {{{0, 3, 251}, {1, 2, 127, 128}}, {{5}, {0, 300}}});

    static Stream<RankMessage> messages() {
        RankState state = new RankState(61, 7, true, 812, 3, 4, RankState.NONE, 815, 0);
        List<InetSocketAddress> forwardTo =
                List.of(new InetSocketAddress("10.1.0.7", 7340), new InetSocketAddress("10.3.0.9", 65535));
        return Stream.of(
                new RankMessage.Hello("g0", 61, 7, List.of()),
                new RankMessage.Hello("g0", 0, 7, forwardTo),
                new RankMessage.State("g0", state, 1.75),
                new RankMessage.HeldExperts("g0", 61, new RankExperts(7, 3, new int[][] {{0, 250}, {}, {4, 5, 6}})),
                new RankMessage.Choices("g0", new ChoiceSample(5, 3, 4, new byte[] {1, (byte) 0xf2, 3})),
                new RankMessage.DesiredState("g0", 7, new DesiredRankState.Prepared(9, MAP), forwardTo),
                new RankMessage.DesiredState("g0", 7, new DesiredRankState.Cleared(9, MAP), List.of()),
                new RankMessage.DesiredState("g0", 7, new DesiredRankState.Armed(9, 815), forwardTo),
                new RankMessage.DesiredMap(
                        "g0",
                        7,
                        true,
                        9,
                        new MapDelta(4, List.of(new MapDelta.Change(15, 128, new int[] {0, 257}))),
                        forwardTo));
    }

    @ParameterizedTest
    @MethodSource("messages")
    void readReturnsTheWrittenMessage(RankMessage message) {
        ByteBuf buffer = Unpooled.buffer();
        RankMessage.write(buffer, message);

        RankMessage decoded = RankMessage.read(buffer).orElseThrow();

        assertThat(decoded).usingRecursiveComparison().isEqualTo(message);
        assertThat(buffer.isReadable()).as("bytes left over").isFalse();
    }
}
