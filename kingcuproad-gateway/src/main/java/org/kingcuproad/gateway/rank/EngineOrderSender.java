package org.kingcuproad.gateway.rank;

import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.HttpMethod;
import java.net.InetSocketAddress;
import java.util.Optional;
import java.util.function.Consumer;
import org.jspecify.annotations.Nullable;
import org.kingcuproad.gateway.Clock;
import org.kingcuproad.gateway.HttpReply;
import org.kingcuproad.gateway.ProcessMetrics;
import org.kingcuproad.gateway.SerialHttpConnection;
import org.kingcuproad.policy.lockstep.DesiredRankState;
import org.kingcuproad.policy.lockstep.EngineOrder;
import org.kingcuproad.policy.lockstep.RankState;
import org.kingcuproad.runtime.log.DecisionLog;

/** Sends orders to one engine, on the same VM or another, one at a time. */
final class EngineOrderSender {

    /**
     * The engine on the same VM responds within some milliseconds, and the group may stall until an order is repeated.
     * An order that was not answered in time may still be carried out later, which is harmless.
     */
    private static final long TIMEOUT_MS = 25;

    /**
     * A hold order goes to another VM, whose link may be busy. Treating it as lost while it is in force would stop the
     * group, and there is time to wait, since the pass to be held is some passes ahead.
     */
    private static final long HOLD_TIMEOUT_MS = 100;

    /** A prepare order contains a whole map, which takes longer to read, and no pass waits for it. */
    private static final long PREPARE_TIMEOUT_MS = 100;

    /** Time for copying experts, some tens of milliseconds each, after which the order is repeated if still needed. */
    private static final long COPY_RETRY_DELAY_MS = 1_500;

    /** Delay before an order is repeated; a refused one can only succeed after the state of the engine has changed. */
    private static final long RETRY_DELAY_MS = 20;

    private static final int STATUS_OK = 200;
    private static final int STATUS_ACCEPTED = 202;

    private final EngineDialect dialect;
    private final SerialHttpConnection connection;
    private final Clock clock;
    private final DecisionLog log;
    private final ProcessMetrics metrics;
    private boolean inProgress;
    private @Nullable EngineOrder lastAnswered;
    private long repeatNotBeforeMs;

    EngineOrderSender(
            EngineDialect dialect,
            EventLoop eventLoop,
            InetSocketAddress engine,
            Clock clock,
            DecisionLog log,
            ProcessMetrics metrics) {
        this.dialect = dialect;
        this.connection = new SerialHttpConnection(eventLoop, engine);
        this.clock = clock;
        this.log = log;
        this.metrics = metrics;
    }

    /**
     * Sends the next order that brings the engine closer to the desired state, unless none is needed, another one is in
     * progress, or the same one was sent just now.
     *
     * @param onAnswer called when the engine has answered, so that its new state is read
     */
    void sendNext(RankState state, DesiredRankState desired, Runnable onAnswer) {
        Optional<EngineOrder> order = EngineOrder.next(state, desired);
        long nowMs = clock.steadyMs();
        if (inProgress
                || order.isEmpty()
                || (nowMs < repeatNotBeforeMs && order.get().equals(lastAnswered))) {
            return;
        }
        send(order.get(), state.epoch(), accepted -> {
            lastAnswered = order.get();
            repeatNotBeforeMs = clock.steadyMs()
                    + (accepted && order.get() instanceof EngineOrder.Prepare ? COPY_RETRY_DELAY_MS : RETRY_DELAY_MS);
            onAnswer.run();
        });
    }

    /**
     * Sends an order, unless another one is in progress.
     *
     * @param onAnswer receives whether the order was accepted; not called if the engine did not answer
     */
    void send(EngineOrder order, long epoch, Consumer<Boolean> onAnswer) {
        if (inProgress) {
            return;
        }
        inProgress = true;
        long sentMs = clock.steadyMs();
        long timeoutMs = timeoutMs(order);
        Consumer<HttpReply> onReply = reply -> {
            inProgress = false;
            String outcome = switch (reply) {
                case HttpReply.Response answer -> "status " + answer.status();
                case HttpReply.Lost lost -> lost.reason();
            };
            log.event("engine order result")
                    .field("order", order.getClass().getSimpleName())
                    .field("version", version(order))
                    .field("step", step(order))
                    .field("epoch", epoch)
                    .field("outcome", outcome)
                    .write();
            metrics.count("orders_" + (reply instanceof HttpReply.Response answer ? answer.status() : "lost"));
            metrics.time("order_ms", clock.steadyMs() - sentMs);
            if (reply instanceof HttpReply.Response answer) {
                onAnswer.accept(answer.status() == STATUS_OK || answer.status() == STATUS_ACCEPTED);
            }
        };
        byte[] body = dialect.writeOrder(order, epoch);
        if (order instanceof EngineOrder.Hold) {
            // Ranks are armed once a hold is accepted; the effects of the other orders are read from reports.
            connection.callOnNewConnection(HttpMethod.POST, dialect.orderTarget(), body, timeoutMs, onReply);
        } else {
            connection.call(HttpMethod.POST, dialect.orderTarget(), body, timeoutMs, onReply);
        }
    }

    private static long timeoutMs(EngineOrder order) {
        return switch (order) {
            case EngineOrder.Prepare prepare -> PREPARE_TIMEOUT_MS;
            case EngineOrder.Hold hold -> HOLD_TIMEOUT_MS;
            case EngineOrder.Arm arm -> TIMEOUT_MS;
            case EngineOrder.Disarm disarm -> TIMEOUT_MS;
            case EngineOrder.Release release -> TIMEOUT_MS;
        };
    }

    private static long version(EngineOrder order) {
        return switch (order) {
            case EngineOrder.Prepare prepare -> prepare.version();
            case EngineOrder.Arm arm -> arm.version();
            case EngineOrder.Disarm disarm -> disarm.version();
            case EngineOrder.Hold hold -> RankState.NONE;
            case EngineOrder.Release release -> RankState.NONE;
        };
    }

    private static long step(EngineOrder order) {
        return switch (order) {
            case EngineOrder.Arm arm -> arm.step();
            case EngineOrder.Hold hold -> hold.step();
            case EngineOrder.Release release -> release.step();
            case EngineOrder.Prepare prepare -> RankState.NONE;
            case EngineOrder.Disarm disarm -> RankState.NONE;
        };
    }

    void close() {
        connection.close();
    }
}
