package org.kingcuproad.agent;

import io.grpc.stub.ServerCallStreamObserver;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Predicate;
import java.util.function.Supplier;
import org.kingcuproad.wire.proto.AgentReport;

/** Publishes the reports of an agent to its subscribers. Confined to the event loop of the agent. */
final class ReportPublisher {

    private static final long MIN_INTERVAL_MS = 100;

    private final Supplier<AgentReport.Builder> source;
    private final long defaultIntervalMs;
    private final List<Subscriber> subscribers = new ArrayList<>();
    private long sequence;

    ReportPublisher(Supplier<AgentReport.Builder> source, long defaultIntervalMs) {
        this.source = source;
        this.defaultIntervalMs = defaultIntervalMs;
    }

    void subscribe(ServerCallStreamObserver<AgentReport> responses, long intervalMs, long nowMs) {
        long effectiveIntervalMs = intervalMs == 0 ? defaultIntervalMs : Math.max(MIN_INTERVAL_MS, intervalMs);
        Subscriber subscriber = new Subscriber(responses, effectiveIntervalMs);
        responses.setOnCancelHandler(() -> subscribers.remove(subscriber));
        subscribers.add(subscriber);
        publish(nowMs, candidate -> candidate == subscriber);
    }

    /** Sends a report to the subscribers whose interval has elapsed. */
    void tick(long nowMs) {
        publish(nowMs, subscriber -> nowMs >= subscriber.nextReportMs);
    }

    /** Sends a report to all subscribers immediately. */
    void publishNow(long nowMs) {
        publish(nowMs, subscriber -> true);
    }

    void close() {
        List.copyOf(subscribers).stream()
                .filter(subscriber -> !subscriber.responses.isCancelled())
                .forEach(subscriber -> subscriber.responses.onCompleted());
        subscribers.clear();
    }

    private void publish(long nowMs, Predicate<Subscriber> predicate) {
        List<Subscriber> recipients = subscribers.stream()
                .filter(predicate)
                .filter(subscriber -> !subscriber.responses.isCancelled())
                .toList();
        if (recipients.isEmpty()) {
            return;
        }
        AgentReport report = source.get().setSequence(++sequence).build();
        recipients.forEach(subscriber -> {
            subscriber.nextReportMs = nowMs + subscriber.intervalMs;
            subscriber.responses.onNext(report);
        });
    }

    /** A subscriber with the time of its next report. */
    private static final class Subscriber {

        private final ServerCallStreamObserver<AgentReport> responses;
        private final long intervalMs;
        private long nextReportMs;

        Subscriber(ServerCallStreamObserver<AgentReport> responses, long intervalMs) {
            this.responses = responses;
            this.intervalMs = intervalMs;
        }
    }
}
