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

/** Gives orders to the engine on the same VM, one at a time. */
final class RankOrders {

    /**
     * The engine on the same VM answers within some milliseconds, and the group may stand still until the order is
     * repeated. An order without an answer may still be carried out later, which does no harm.
     */
    private static final long TIMEOUT_MS = 25;

    /**
     * A hold goes to another VM, whose link may be busy. Taking it for lost while it is in force would stop the group,
     * and the pass to hold is some passes ahead.
     */
    private static final long HOLD_TIMEOUT_MS = 100;

    /** An order with a whole map takes longer to read, and nothing waits for it. */
    private static final long PREPARE_TIMEOUT_MS = 100;

    /** Copies take some tens of milliseconds for each expert; the order is repeated if they are not ready then. */
    private static final long COPY_MS = 1_500;

    /** Pause after a refused order, since the state it met must change first. */
    private static final long REFUSED_PAUSE_MS = 20;

    private static final int STATUS_OK = 200;
    private static final int STATUS_ACCEPTED = 202;

    private final EngineDialect dialect;
    private final SerialHttpConnection connection;
    private final Clock clock;
    private final DecisionLog log;
    private final ProcessMetrics metrics;
    private boolean busy;
    private @Nullable EngineOrder lastAccepted;
    private long pauseUntilMs;

    RankOrders(
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
     * Gives the next order that brings the engine closer to the wanted state, if there is one and none is under way.
     *
     * @param onChange called after an accepted order, so that the new state is read
     */
    void follow(RankState state, DesiredRankState wish, Runnable onChange) {
        Optional<EngineOrder> order = EngineOrder.next(state, wish);
        long nowMs = clock.steadyMs();
        if (busy || order.isEmpty() || (nowMs < pauseUntilMs && order.get().equals(lastAccepted))) {
            return;
        }
        give(order.get(), state.epoch(), accepted -> {
            lastAccepted = order.get();
            pauseUntilMs = clock.steadyMs()
                    + (accepted && order.get() instanceof EngineOrder.Prepare ? COPY_MS : REFUSED_PAUSE_MS);
            onChange.run();
        });
    }

    /**
     * Gives an order.
     *
     * @param onAnswer receives whether the order was accepted; not called if there was no answer
     */
    void give(EngineOrder order, long epoch, Consumer<Boolean> onAnswer) {
        if (busy) {
            return;
        }
        busy = true;
        long givenMs = clock.steadyMs();
        long timeoutMs = timeoutMs(order);
        connection.call(HttpMethod.POST, dialect.orderTarget(), dialect.writeOrder(order, epoch), timeoutMs, reply -> {
            busy = false;
            String outcome = switch (reply) {
                case HttpReply.Response answer -> "status " + answer.status();
                case HttpReply.Lost lost -> lost.reason();
            };
            log.event("order given")
                    .field("order", order.getClass().getSimpleName())
                    .field("version", version(order))
                    .field("step", step(order))
                    .field("epoch", epoch)
                    .field("outcome", outcome)
                    .write();
            metrics.count("orders_" + (reply instanceof HttpReply.Response answer ? answer.status() : "lost"));
            metrics.time("order_ms", clock.steadyMs() - givenMs);
            if (reply instanceof HttpReply.Response answer) {
                onAnswer.accept(answer.status() == STATUS_OK || answer.status() == STATUS_ACCEPTED);
            }
        });
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
