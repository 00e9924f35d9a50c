package org.kingcuproad.gateway.rank;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.Map;
import java.util.function.BiConsumer;

/**
 * Tells gateways how slow the engine is.
 *
 * <p>Ranks of a group finish every pass together, so callers can't see which of them is slow; only the engine knows. A
 * gateway subscribes by datagram and is told while the engine is slow and once when it no longer is.
 */
public final class PaceNotice {

    /** First byte of a subscription; messages between agents begin with smaller numbers. */
    private static final int SUBSCRIPTION = 100;

    /** First byte of a notice. */
    private static final int NOTICE = 101;

    /** Gateways repeat their subscription each second. */
    private static final long SUBSCRIBED_MS = 3_000;

    /** A pace below this is the usual variation. */
    private static final double SLOW = 1.2;

    /** Several notices arrive before a gateway forgets a pace, so single lost ones do not matter. */
    private static final long REPEAT_MS = 200;

    private final BiConsumer<ByteBuf, InetSocketAddress> output;
    private final Map<InetSocketAddress, Long> subscribersMs = new HashMap<>();
    private boolean toldSlow;
    private long toldMs;

    PaceNotice(BiConsumer<ByteBuf, InetSocketAddress> output) {
        this.output = output;
    }

    /**
     * Writes a subscription.
     *
     * @return the datagram
     */
    public static ByteBuf subscription() {
        return Unpooled.buffer().writeByte(SUBSCRIPTION);
    }

    static boolean isSubscription(ByteBuf datagram) {
        return datagram.isReadable() && datagram.getUnsignedByte(datagram.readerIndex()) == SUBSCRIPTION;
    }

    /**
     * Tells whether a datagram is a notice.
     *
     * @param datagram the datagram
     * @return {@code true} if {@link #readPace} may be called
     */
    public static boolean isNotice(ByteBuf datagram) {
        return datagram.readableBytes() == 1 + Double.BYTES
                && datagram.getUnsignedByte(datagram.readerIndex()) == NOTICE;
    }

    /**
     * Reads a notice.
     *
     * @param datagram the datagram
     * @return how many times longer than usual the engine takes for the same work
     */
    public static double readPace(ByteBuf datagram) {
        return datagram.getDouble(datagram.readerIndex() + 1);
    }

    void onSubscription(InetSocketAddress gateway, long nowMs) {
        subscribersMs.put(gateway, nowMs);
    }

    /** Tells the subscribers, if there is something to tell. */
    void send(double pace, long nowMs) {
        boolean slow = pace >= SLOW;
        if ((!slow && !toldSlow) || (slow && toldSlow && nowMs - toldMs < REPEAT_MS)) {
            return;
        }
        toldSlow = slow;
        toldMs = nowMs;
        subscribersMs.values().removeIf(subscribedMs -> nowMs - subscribedMs > SUBSCRIBED_MS);
        subscribersMs
                .keySet()
                .forEach(gateway ->
                        output.accept(Unpooled.buffer().writeByte(NOTICE).writeDouble(slow ? pace : 1), gateway));
    }
}
