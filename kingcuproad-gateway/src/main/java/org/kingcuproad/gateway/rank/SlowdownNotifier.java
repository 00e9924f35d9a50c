package org.kingcuproad.gateway.rank;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import java.net.InetSocketAddress;
import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import java.util.function.BiConsumer;
import java.util.function.Supplier;
import org.kingcuproad.gateway.enginegroup.GroupReportCodec;
import org.kingcuproad.policy.enginegroup.GroupReport;
import org.kingcuproad.policy.enginegroup.GroupReportSchedule;

/**
 * Notifies subscribed gateways of an engine's slowdown and of the state of its group.
 *
 * <p>The ranks of a group finish every pass together, so callers can't see which rank is slow; only its engine knows. A
 * gateway subscribes by datagram. It receives notices while the engine is slow, and one when the engine has recovered.
 */
public final class SlowdownNotifier {

    /** First byte of a subscription; the type numbers of messages between agents are smaller. */
    private static final int SUBSCRIPTION = 100;

    /** First byte of a notice. */
    private static final int NOTICE = 101;

    /** Time after which a subscription expires; gateways renew theirs every second. */
    private static final long SUBSCRIPTION_EXPIRY_MS = 3_000;

    /** Slowdown from which an engine counts as slow; smaller values are normal variation. */
    private static final double MIN_SLOWDOWN = 1.2;

    /**
     * Interval of repeated notices: several are sent before a gateway's record expires, so a single loss is harmless.
     */
    private static final long REPEAT_INTERVAL_MS = 200;

    private final BiConsumer<ByteBuf, InetSocketAddress> output;
    private final Map<InetSocketAddress, Long> subscriptionTimesMs = new HashMap<>();
    private boolean lastNoticeSlow;
    private long lastNoticeMs;
    private final GroupReportSchedule groupSchedule = new GroupReportSchedule();
    private final GroupPassDuration passDuration = new GroupPassDuration();

    SlowdownNotifier(BiConsumer<ByteBuf, InetSocketAddress> output) {
        this.output = output;
    }

    /**
     * Creates a subscription request.
     *
     * @return content of the datagram that a gateway sends to an agent
     */
    public static ByteBuf subscription() {
        return Unpooled.buffer().writeByte(SUBSCRIPTION);
    }

    static boolean isSubscription(ByteBuf datagram) {
        return datagram.isReadable() && datagram.getUnsignedByte(datagram.readerIndex()) == SUBSCRIPTION;
    }

    /**
     * Tells whether a datagram is a slowdown notice.
     *
     * @param datagram content of the datagram
     * @return {@code true} if {@link #readSlowdown} may be called
     */
    public static boolean isNotice(ByteBuf datagram) {
        return datagram.readableBytes() == 1 + Double.BYTES
                && datagram.getUnsignedByte(datagram.readerIndex()) == NOTICE;
    }

    /**
     * Reads the slowdown from a notice, without moving the reader index.
     *
     * @param datagram content of the datagram
     * @return factor by which the engine takes longer than usual for the same work; 1 if it is not slow
     */
    public static double readSlowdown(ByteBuf datagram) {
        return datagram.getDouble(datagram.readerIndex() + 1);
    }

    void onSubscription(InetSocketAddress gateway, long nowMs) {
        subscriptionTimesMs.put(gateway, nowMs);
    }

    /** Notifies the subscribers if the engine is slow and a notice is due, or if it has just recovered. */
    void send(double slowdown, long nowMs) {
        boolean slow = slowdown >= MIN_SLOWDOWN;
        if ((!slow && !lastNoticeSlow) || (slow && lastNoticeSlow && nowMs - lastNoticeMs < REPEAT_INTERVAL_MS)) {
            return;
        }
        lastNoticeSlow = slow;
        lastNoticeMs = nowMs;
        sendToSubscribers(() -> Unpooled.buffer().writeByte(NOTICE).writeDouble(slow ? slowdown : 1), nowMs);
    }

    /** Notifies the subscribers of what is new in a report of the engine; {@code others} are agents of its group. */
    void onReport(EngineReport report, Collection<InetSocketAddress> others, boolean copying, long nowMs) {
        send(report.slowdown(), nowMs);
        report.membership().ifPresent(membership -> {
            passDuration.onReport(membership.epoch(), report.step(), nowMs);
            GroupReport groupReport = new GroupReport(
                    membership.group(),
                    membership.epoch(),
                    membership.rank(),
                    membership.ranks(),
                    membership.operational(),
                    copying,
                    passDuration.passMs(nowMs),
                    others.stream().map(InetSocketAddress::getHostString).toList());
            if (groupSchedule.due(groupReport, nowMs)) {
                sendToSubscribers(() -> GroupReportCodec.encode(groupReport), nowMs);
            }
        });
    }

    private void sendToSubscribers(Supplier<ByteBuf> notice, long nowMs) {
        subscriptionTimesMs.values().removeIf(subscribedMs -> nowMs - subscribedMs > SUBSCRIPTION_EXPIRY_MS);
        subscriptionTimesMs.keySet().forEach(gateway -> output.accept(notice.get(), gateway));
    }
}
