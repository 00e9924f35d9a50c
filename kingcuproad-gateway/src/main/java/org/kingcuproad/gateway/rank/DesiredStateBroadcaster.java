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
 * Sends a desired state to many agents over the low-bandwidth link of one VM.
 *
 * <p>A map of 63 ranks takes 3 KB. Sending it to each agent would occupy a link of 5 Mbit/s for a third of a second, so
 * it is sent to a few agents, which forward it. The forwarding agents are drawn at random for each transmission, so an
 * agent that has failed delays the others by one repetition only.
 */
final class DesiredStateBroadcaster {

    /** Repetition interval, which bounds the delay by a lost datagram; the group may stall until it is repeated. */
    private static final long REPEAT_INTERVAL_MS = 60;

    /** Repetition interval of large messages: forwarding takes longer, and the group doesn't stall meanwhile. */
    private static final long LARGE_REPEAT_INTERVAL_MS = 150;

    /**
     * Bytes that the link of an engine's VM carries in some ten milliseconds; larger volumes are forwarded by others.
     */
    private static final int MAX_DIRECT_BYTES = 12_000;

    private final BiConsumer<RankMessage, InetSocketAddress> output;
    private @Nullable DesiredRankState lastSent;
    private boolean lastSentLarge;
    private long lastSentMs = Long.MIN_VALUE / 2;
    private long firstSentMs;

    DesiredStateBroadcaster(BiConsumer<RankMessage, InetSocketAddress> output) {
        this.output = output;
    }

    /** Tells whether a desired state is new or due to be repeated. */
    boolean due(DesiredRankState desired, long nowMs) {
        DesiredRankState previous = lastSent;
        return previous == null
                || !previous.sameAs(desired)
                || nowMs - lastSentMs >= (lastSentLarge ? LARGE_REPEAT_INTERVAL_MS : REPEAT_INTERVAL_MS);
    }

    /** Returns the time since a desired state was first sent, 0 if it was not sent yet. */
    long ageMs(DesiredRankState desired, long nowMs) {
        DesiredRankState previous = lastSent;
        return previous == null || !previous.sameAs(desired) ? 0 : nowMs - firstSentMs;
    }

    /**
     * Sends a desired state to the receivers, directly or through some of them.
     *
     * @param desired the state
     * @param message the message that carries it
     */
    void broadcast(
            DesiredRankState desired, RankMessage.Forwarded message, List<InetSocketAddress> receivers, long nowMs) {
        DesiredRankState previous = lastSent;
        if (previous == null || !previous.sameAs(desired)) {
            firstSentMs = nowMs;
        }
        lastSent = desired;
        lastSentMs = nowMs;
        lastSentLarge = encodedSize(message) * receivers.size() > MAX_DIRECT_BYTES;
        if (!lastSentLarge) {
            receivers.forEach(receiver -> output.accept(message, receiver));
            return;
        }
        List<InetSocketAddress> shuffled = new ArrayList<>(receivers);
        Collections.shuffle(shuffled, ThreadLocalRandom.current());
        int relayCount = (int) Math.ceil(Math.sqrt(shuffled.size()));
        for (int relay = 0; relay < relayCount; relay++) {
            List<InetSocketAddress> forwardTo = new ArrayList<>();
            for (int index = relay + relayCount; index < shuffled.size(); index += relayCount) {
                forwardTo.add(shuffled.get(index));
            }
            output.accept(message.withForwardTo(forwardTo), shuffled.get(relay));
        }
    }

    private static int encodedSize(RankMessage message) {
        ByteBuf buffer = Unpooled.buffer();
        RankMessage.write(buffer, message);
        int size = buffer.readableBytes();
        buffer.release();
        return size;
    }
}
