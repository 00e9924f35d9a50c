package org.kingcuproad.gateway.rank;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.kingcuproad.policy.lockstep.DesiredRankState;
import org.kingcuproad.policy.lockstep.ExpertPlacement;
import org.kingcuproad.policy.lockstep.MapDelta;

/** Guards against saturating the link of rank 0 when the map of a large group changes. */
class DesiredStateBroadcasterTest {

    private static final int RANKS = 63;

    /** Link bandwidth of an engine's VM in the largest deployments. */
    private static final double LINK_BYTES_PER_MS = 5_600 / 8.0;

    /** Maximum time for which a broadcast may occupy the link, since other messages wait meanwhile. */
    private static final double MAX_LINK_MS = 60;

    private final List<RankMessage.DesiredState> sent = new ArrayList<>();
    private final List<InetSocketAddress> firstHopReceivers = new ArrayList<>();
    private final DesiredStateBroadcaster broadcaster = new DesiredStateBroadcaster((message, address) -> {
        sent.add((RankMessage.DesiredState) message);
        firstHopReceivers.add(address);
    });

    private static RankMessage.DesiredState largeMessage() {
        int[][][] map = IntStream.range(0, 8)
                .mapToObj(set -> IntStream.range(0, RANKS)
                        .mapToObj(rank -> IntStream.range(0, 5)
                                .map(slot -> (slot * RANKS + rank + set) % 252)
                                .toArray())
                        .toArray(int[][]::new))
                .toArray(int[][][]::new);
        return new RankMessage.DesiredState(
                "g0", 1, new DesiredRankState.Prepared(5, ExpertPlacement.of(map)), List.of());
    }

    private static List<InetSocketAddress> agents() {
        return IntStream.range(1, RANKS)
                .mapToObj(rank -> new InetSocketAddress("10.1.0." + rank, 7340))
                .toList();
    }

    @Test
    void largeMapReachesAllAgentsWithinTheLinkTime() {
        broadcaster.broadcast(largeMessage().desired(), largeMessage(), agents(), 0);

        List<InetSocketAddress> reached = new ArrayList<>(firstHopReceivers);
        sent.forEach(message -> reached.addAll(message.forwardTo()));
        assertThat(reached).containsExactlyInAnyOrderElementsOf(agents());
        int totalBytes =
                sent.stream().mapToInt(DesiredStateBroadcasterTest::encodedSize).sum();
        assertThat(totalBytes / LINK_BYTES_PER_MS).as("time on the link, ms").isLessThan(MAX_LINK_MS);
    }

    /** A group of 129 ranks changes about 220 of its 2,064 lists at once, over links of 4.2 Mbit/s. */
    @Test
    void differenceOfAHundredRanksTakesAFractionOfTheLink() {
        List<MapDelta.Change> changes = IntStream.range(0, 220)
                .mapToObj(index -> new MapDelta.Change(index % 16, index % 129, new int[] {index, 130, 257}))
                .toList();
        List<InetSocketAddress> receivers = IntStream.range(1, 129)
                .mapToObj(rank -> new InetSocketAddress("10.1.0." + rank, 7340))
                .toList();
        List<RankMessage> hops = new ArrayList<>();
        DesiredStateBroadcaster large = new DesiredStateBroadcaster((message, address) -> hops.add(message));

        large.broadcast(
                new DesiredRankState.Armed(5, 80),
                new RankMessage.DesiredMap("g0", 1, false, 5, new MapDelta(0, changes), List.of()),
                receivers,
                0);

        int totalBytes =
                hops.stream().mapToInt(DesiredStateBroadcasterTest::encodedSize).sum();
        assertThat(totalBytes / (4_200 / 8.0)).as("time on the link, ms").isLessThan(MAX_LINK_MS);
    }

    @Test
    void forwardingAgentsDifferBetweenTransmissions() {
        broadcaster.broadcast(largeMessage().desired(), largeMessage(), agents(), 0);
        List<InetSocketAddress> firstTransmissionReceivers = List.copyOf(firstHopReceivers);
        firstHopReceivers.clear();

        broadcaster.broadcast(largeMessage().desired(), largeMessage(), agents(), 200);

        assertThat(firstHopReceivers).isNotEqualTo(firstTransmissionReceivers);
    }

    @Test
    void smallMessageIsSentToEachAgentDirectly() {
        DesiredRankState armed = new DesiredRankState.Armed(5, 80);
        broadcaster.broadcast(armed, new RankMessage.DesiredState("g0", 1, armed, List.of()), agents(), 0);

        assertThat(firstHopReceivers).containsExactlyElementsOf(agents());
        assertThat(broadcaster.due(new DesiredRankState.Armed(5, 80), 59)).isFalse();
        assertThat(broadcaster.due(new DesiredRankState.Armed(5, 80), 60)).isTrue();
        assertThat(broadcaster.due(new DesiredRankState.Armed(6, 84), 1)).isTrue();
    }

    private static int encodedSize(RankMessage message) {
        ByteBuf buffer = Unpooled.buffer();
        RankMessage.write(buffer, message);
        int size = buffer.readableBytes();
        buffer.release();
        return size;
    }
}
