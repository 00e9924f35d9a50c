package org.kingcuproad.entry.link;

import java.util.List;
import org.kingcuproad.wire.proto.AgentReport;

/** Forwards reports to several listeners. */
public final class ReportFanOut implements ReportListener {

    private final List<ReportListener> listeners;

    /**
     * Creates a fan-out to a fixed list of listeners.
     *
     * @param listeners receive every report, in this order
     */
    public ReportFanOut(ReportListener... listeners) {
        this.listeners = List.of(listeners);
    }

    @Override
    public void onReport(String upstream, AgentReport report) {
        listeners.forEach(listener -> listener.onReport(upstream, report));
    }

    @Override
    public void onUnreachable(String upstream, String detail) {
        listeners.forEach(listener -> listener.onUnreachable(upstream, detail));
    }
}
