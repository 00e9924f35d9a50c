package org.kingcuproad.agent;

import io.grpc.stub.ServerCallStreamObserver;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Supplier;
import org.kingcuproad.wire.proto.AgentReport;

/** The subscribers of an agent's reports. Used on the event loop of the agent. */
final class Reports {

    private final Supplier<AgentReport.Builder> source;
    private final List<ServerCallStreamObserver<AgentReport>> subscribers = new ArrayList<>();
    private long sequence;

    Reports(Supplier<AgentReport.Builder> source) {
        this.source = source;
    }

    void subscribe(ServerCallStreamObserver<AgentReport> subscriber) {
        subscriber.setOnCancelHandler(() -> subscribers.remove(subscriber));
        subscribers.add(subscriber);
        publish();
    }

    /** Sends one report to all subscribers; all of them see the same sequence. */
    void publish() {
        if (subscribers.isEmpty()) {
            return;
        }
        AgentReport report = source.get().setSequence(++sequence).build();
        List.copyOf(subscribers).stream()
                .filter(subscriber -> !subscriber.isCancelled())
                .forEach(subscriber -> subscriber.onNext(report));
    }

    void close() {
        List.copyOf(subscribers).stream()
                .filter(subscriber -> !subscriber.isCancelled())
                .forEach(ServerCallStreamObserver::onCompleted);
        subscribers.clear();
    }
}
