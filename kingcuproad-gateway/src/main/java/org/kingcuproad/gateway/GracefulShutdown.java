package org.kingcuproad.gateway;

import java.util.concurrent.CompletableFuture;
import java.util.function.LongSupplier;
import org.jspecify.annotations.Nullable;
import org.kingcuproad.policy.gateway.ServiceStatistics;
import org.kingcuproad.policy.gateway.ShutdownAdmissionDecision;
import org.kingcuproad.runtime.log.DecisionLog;

/**
 * Graceful shutdown of a gateway, from the signal to the time at which the process may exit. All methods but
 * {@link #stopped} are called on the event loop.
 */
final class GracefulShutdown {

    private final ShutdownSequence sequence = new ShutdownSequence();
    private final CompletableFuture<Void> stopped = new CompletableFuture<>();
    private final LongSupplier graceMs;
    private final DecisionLog log;

    /**
     * Creates a shutdown that has not started.
     *
     * @param graceMs supplies the time from the start of the shutdown to the forced end of the process, in milliseconds
     */
    GracefulShutdown(LongSupplier graceMs, DecisionLog log) {
        this.graceMs = graceMs;
        this.log = log;
    }

    /** Returns a future that completes when the process may exit. */
    CompletableFuture<Void> stopped() {
        return stopped;
    }

    /** Starts the shutdown, unless it has started before. */
    void start(int connections, long nowMs) {
        if (!sequence.started()) {
            sequence.start(graceMs.getAsLong(), nowMs);
            log.event("gateway draining").field("connections", connections).write();
        }
    }

    boolean started() {
        return sequence.started();
    }

    /** Returns whether a request can be expected to be completed before the gateway stops. */
    boolean admits(Exchange exchange, ServiceStatistics statistics, long nowMs) {
        return !sequence.started()
                || ShutdownAdmissionDecision.of(
                                sequence.removedFromBalancer(nowMs),
                                sequence.untilServiceEndMs(graceMs.getAsLong(), nowMs),
                                exchange.deadlineMs() - nowMs,
                                statistics.longestRecentMs(exchange.route().kind()))
                        .admitted();
    }

    /**
     * Closes idle connections and the listening socket and ends the service when it is time to.
     *
     * @param listener the listening socket, {@code null} if the gateway has not been started
     * @param connections open client connections
     * @param endRequests ends all requests that are still in progress or arriving
     * @param onEnd called before {@link #stopped} completes
     */
    void sweep(
            @Nullable ClientListener listener,
            ClientConnections connections,
            Runnable endRequests,
            Runnable onEnd,
            long nowMs) {
        if (!sequence.started() || stopped.isDone()) {
            return;
        }
        if (sequence.removedFromBalancer(nowMs)) {
            connections.list().forEach(connection -> connection.closeIfIdle(nowMs));
        }
        if (listener != null
                && sequence.stopsListening(
                        connections.size(), connections.lastChangeMs(), graceMs.getAsLong(), nowMs)) {
            listener.stop();
        }
        if (sequence.untilServiceEndMs(graceMs.getAsLong(), nowMs) < 0) {
            endRequests.run();
        }
        boolean listening = listener != null && !listener.stopped();
        if (!listening && sequence.isComplete(connections.size(), graceMs.getAsLong(), nowMs)) {
            connections.list().forEach(connection -> connection.closeIfIdle(nowMs));
            log.event("gateway stopped")
                    .field("connections", connections.size())
                    .field("afterMs", sequence.durationMs(nowMs))
                    .write();
            onEnd.run();
            stopped.complete(null);
        }
    }
}
