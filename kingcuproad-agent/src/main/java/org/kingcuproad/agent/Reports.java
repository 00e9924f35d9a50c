package org.kingcuproad.agent;

import io.grpc.stub.ServerCallStreamObserver;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Predicate;
import java.util.function.Supplier;
import org.kingcuproad.wire.proto.AgentReport;

/** The subscribers of an agent's reports. Lives on the event loop of the agent. */
final class Reports {

    private static final long MIN_INTERVAL_MS = 100;

    private final Supplier<AgentReport.Builder> source;
    private final long defaultIntervalMs;
    private final List<Subscriber> subscribers = new ArrayList<>();
    private long sequence;

    Reports(Supplier<AgentReport.Builder> source, long defaultIntervalMs) {
        this.source = source;
        this.defaultIntervalMs = defaultIntervalMs;
    }

    void subscribe(ServerCallStreamObserver<AgentReport> responses, long intervalMs, long nowMs) {
        long chosenMs = intervalMs == 0 ? defaultIntervalMs : Math.max(MIN_INTERVAL_MS, intervalMs);
        Subscriber subscriber = new Subscriber(responses, chosenMs);
        responses.setOnCancelHandler(() -> subscribers.remove(subscriber));
        subscribers.add(subscriber);
        publish(nowMs, candidate -> candidate == subscriber);
    }

    /** Sends a report to the subscribers that are due. */
    void tick(long nowMs) {
        publish(nowMs, subscriber -> nowMs >= subscriber.dueMs);
    }

    /** Sends a report to all subscribers at once. */
    void publishNow(long nowMs) {
        publish(nowMs, subscriber -> true);
    }

    void close() {
        List.copyOf(subscribers).stream()
                .filter(subscriber -> !subscriber.responses.isCancelled())
                .forEach(subscriber -> subscriber.responses.onCompleted());
        subscribers.clear();
    }

    private void publish(long nowMs, Predicate<Subscriber> selected) {
        List<Subscriber> receivers = subscribers.stream()
                .filter(selected)
                .filter(subscriber -> !subscriber.responses.isCancelled())
                .toList();
        if (receivers.isEmpty()) {
            return;
        }
        AgentReport report = source.get().setSequence(++sequence).build();
        receivers.forEach(subscriber -> {
            subscriber.dueMs = nowMs + subscriber.intervalMs;
            subscriber.responses.onNext(report);
        });
    }

    /** One subscriber and the time of its next report. */
    private static final class Subscriber {

        private final ServerCallStreamObserver<AgentReport> responses;
        private final long intervalMs;
        private long dueMs;

        Subscriber(ServerCallStreamObserver<AgentReport> responses, long intervalMs) {
            this.responses = responses;
            this.intervalMs = intervalMs;
        }
    }
}
