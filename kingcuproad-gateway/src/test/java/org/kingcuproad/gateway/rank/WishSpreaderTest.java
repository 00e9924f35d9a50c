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

/** Guards against a change of the map of a large group that fills the link of rank 0. */
class WishSpreaderTest {

    private static final int RANKS = 63;

    /** Link of an engine's VM of the grown deployments, and the time within which others may wait for it. */
    private static final double LINK_BYTES_A_MS = 5_600 / 8.0;

    private static final double MOST_LINK_MS = 60;

    private final List<RankMessage.Wanted> sent = new ArrayList<>();
    private final List<InetSocketAddress> firstHop = new ArrayList<>();
    private final WishSpreader spreader = new WishSpreader((message, address) -> {
        sent.add((RankMessage.Wanted) message);
        firstHop.add(address);
    });

    private static RankMessage.Wanted largeWish() {
        int[][][] map = IntStream.range(0, 8)
                .mapToObj(set -> IntStream.range(0, RANKS)
                        .mapToObj(rank -> IntStream.range(0, 5)
                                .map(place -> (place * RANKS + rank + set) % 252)
                                .toArray())
                        .toArray(int[][]::new))
                .toArray(int[][][]::new);
        return new RankMessage.Wanted("g0", 1, new DesiredRankState.Prepared(5, ExpertPlacement.of(map)), List.of());
    }

    private static List<InetSocketAddress> agents() {
        return IntStream.range(1, RANKS)
                .mapToObj(rank -> new InetSocketAddress("10.1.0." + rank, 7340))
                .toList();
    }

    @Test
    void aLargeMapReachesAllOverANarrowLink() {
        spreader.spread(largeWish(), agents(), 0);

        List<InetSocketAddress> reached = new ArrayList<>(firstHop);
        sent.forEach(message -> reached.addAll(message.passOnTo()));
        assertThat(reached).containsExactlyInAnyOrderElementsOf(agents());
        int bytes = sent.stream().mapToInt(WishSpreaderTest::bytes).sum();
        assertThat(bytes / LINK_BYTES_A_MS).as("time on the link, ms").isLessThan(MOST_LINK_MS);
    }

    @Test
    void anAgentThatIsGoneDoesNotKeepTheSameOthersWaiting() {
        spreader.spread(largeWish(), agents(), 0);
        List<InetSocketAddress> first = List.copyOf(firstHop);
        firstHop.clear();

        spreader.spread(largeWish(), agents(), 200);

        assertThat(firstHop).isNotEqualTo(first);
    }

    @Test
    void aSmallWishGoesStraightToEachAgent() {
        spreader.spread(new RankMessage.Wanted("g0", 1, new DesiredRankState.Armed(5, 80), List.of()), agents(), 0);

        assertThat(firstHop).containsExactlyElementsOf(agents());
        assertThat(spreader.due(new DesiredRankState.Armed(5, 80), 59)).isFalse();
        assertThat(spreader.due(new DesiredRankState.Armed(5, 80), 60)).isTrue();
        assertThat(spreader.due(new DesiredRankState.Armed(6, 84), 1)).isTrue();
    }

    private static int bytes(RankMessage message) {
        ByteBuf written = Unpooled.buffer();
        RankMessage.write(written, message);
        int bytes = written.readableBytes();
        written.release();
        return bytes;
    }
}
