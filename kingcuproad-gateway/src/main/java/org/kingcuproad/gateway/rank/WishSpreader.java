package org.kingcuproad.gateway.rank;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.concurrent.ThreadLocalRandom;
import java.util.function.BiConsumer;
import org.jspecify.annotations.Nullable;
import org.kingcuproad.policy.lockstep.DesiredRankState;

/**
 * Tells a wish to many agents over the narrow link of one VM.
 *
 * <p>A map of 63 ranks takes 3 KB. Sent to each agent it would keep a link of 5 Mbit/s busy for a third of a second, so
 * it goes to a few agents which pass it on. Who passes it on is drawn anew each time, so an agent that is gone delays
 * others by one repetition only.
 */
final class WishSpreader {

    /** A lost datagram is replaced this soon; the group may stand still meanwhile. */
    private static final long REPEAT_MS = 60;

    /** Large wishes need this long to arrive through agents that pass them on; nothing stands still meanwhile. */
    private static final long LARGE_REPEAT_MS = 150;

    /** Bytes that the link of an engine's VM carries in some ten milliseconds; more are passed on by others. */
    private static final int MOST_DIRECT_BYTES = 12_000;

    private final BiConsumer<RankMessage, InetSocketAddress> output;
    private @Nullable DesiredRankState told;
    private boolean large;
    private long toldMs = Long.MIN_VALUE / 2;

    WishSpreader(BiConsumer<RankMessage, InetSocketAddress> output) {
        this.output = output;
    }

    /** Tells whether a wish is new or due to be repeated. */
    boolean due(DesiredRankState wish, long nowMs) {
        DesiredRankState before = told;
        return before == null || !before.sameAs(wish) || nowMs - toldMs >= (large ? LARGE_REPEAT_MS : REPEAT_MS);
    }

    /** Sends a wish to agents, directly or through some of them. */
    void spread(RankMessage.Wanted message, List<InetSocketAddress> receivers, long nowMs) {
        told = message.wish();
        toldMs = nowMs;
        large = bytes(message) * receivers.size() > MOST_DIRECT_BYTES;
        if (!large) {
            receivers.forEach(receiver -> output.accept(message, receiver));
            return;
        }
        List<InetSocketAddress> drawn = new ArrayList<>(receivers);
        Collections.shuffle(drawn, ThreadLocalRandom.current());
        int relays = (int) Math.ceil(Math.sqrt(drawn.size()));
        for (int relay = 0; relay < relays; relay++) {
            List<InetSocketAddress> others = new ArrayList<>();
            for (int at = relay + relays; at < drawn.size(); at += relays) {
                others.add(drawn.get(at));
            }
            output.accept(message.withPassOnTo(others), drawn.get(relay));
        }
    }

    private static int bytes(RankMessage message) {
        ByteBuf written = Unpooled.buffer();
        RankMessage.write(written, message);
        int bytes = written.readableBytes();
        written.release();
        return bytes;
    }
}
