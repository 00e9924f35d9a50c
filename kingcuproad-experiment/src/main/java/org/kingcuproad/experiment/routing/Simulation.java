package org.kingcuproad.experiment.routing;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.kingcuproad.policy.routing.LoadReport;
import org.kingcuproad.policy.routing.RoutedUpstream;

/** One run: upstreams, entries and callers of one user organisation (design page, 1.1) in virtual time. */
final class Simulation {

    /** Name of the one model group. */
    static final String GROUP = "drafting";

    /** Upstreams of the group. */
    static final int UPSTREAMS = 12;

    private static final int ENTRIES = 4;
    private static final int DATA_CENTRES = 3;
    private static final long SECOND_MICROS = 1_000_000;
    private static final long WARM_UP_SECONDS = 30;
    private static final long FAULT_SECONDS = 60;
    private static final long END_SECONDS = 210;
    private static final long DETECTION_MICROS = 1_500_000;
    private static final double STRAGGLER_FACTOR = 3;

    /** One report in this many loses its cache events, because the events of engines have gaps. */
    private static final int LOST_EVENTS_INTERVAL = 20;

    private final ExperimentInput input;
    private final VirtualTime time = new VirtualTime();
    private final Measures measures = new Measures(WARM_UP_SECONDS * SECOND_MICROS);
    private final Map<String, SimulatedUpstream> upstreams = new LinkedHashMap<>();
    private final List<SimulatedEntry> entries = new ArrayList<>();
    private final Workload workload;
    private final double requestsPerSecond;
    private int reports;

    Simulation(ExperimentInput input, ExperimentPolicy policy, double requestsPerSecond, long seed) {
        this.input = input;
        this.workload = new Workload(seed, input.noisyFactor());
        this.requestsPerSecond = requestsPerSecond * input.rateFactor();
        for (int index = 0; index < UPSTREAMS; index++) {
            RoutedUpstream description =
                    new RoutedUpstream("upstream-" + index, dataCentre(index), GROUP, SimulatedUpstream.BATCH);
            upstreams.put(description.name(), new SimulatedUpstream(description, index + 1, time, measures));
        }
        for (int index = 0; index < ENTRIES; index++) {
            entries.add(
                    new SimulatedEntry(policy, dataCentre(index), seed * ENTRIES + index, upstreams, time, measures));
        }
    }

    private static String dataCentre(int index) {
        return "data-centre-" + index % DATA_CENTRES;
    }

    RunResult run(double capacityPerSecond) {
        time.after(workload.nextGapMicros(requestsPerSecond), this::arrive);
        int index = 0;
        for (SimulatedUpstream upstream : upstreams.values()) {
            time.after(SECOND_MICROS * index++ / UPSTREAMS, () -> report(upstream));
        }
        time.after(FAULT_SECONDS * SECOND_MICROS, this::injectFault);
        time.runUntil(END_SECONDS * SECOND_MICROS);
        return measures.result(END_SECONDS - WARM_UP_SECONDS, capacityPerSecond);
    }

    private void arrive() {
        entries.get(workload.nextInt(ENTRIES)).onArrival(workload.next());
        time.after(workload.nextGapMicros(requestsPerSecond), this::arrive);
    }

    private void report(SimulatedUpstream upstream) {
        if (upstream.lost()) {
            return;
        }
        LoadReport complete = upstream.report(input.reportAgeMs());
        boolean gap = reports++ % LOST_EVENTS_INTERVAL == LOST_EVENTS_INTERVAL - 1;
        LoadReport report = gap ? withoutEvents(complete) : complete;
        String name = upstream.description().name();
        time.after(input.reportAgeMs() * 1_000, () -> entries.forEach(entry -> entry.onReport(name, report)));
        time.after(SECOND_MICROS, () -> report(upstream));
    }

    private static LoadReport withoutEvents(LoadReport report) {
        return new LoadReport(
                report.incarnation(),
                report.sequence(),
                report.inFlight(),
                report.queued(),
                report.tokensPerSecond(),
                report.leaving(),
                report.loadAgeMs(),
                List.of());
    }

    private void injectFault() {
        List<SimulatedUpstream> all = List.copyOf(upstreams.values());
        switch (input.fault()) {
            case NONE -> {}
            case STRAGGLER -> all.get(0).slowDown(STRAGGLER_FACTOR);
            case THIRD_LOST -> all.subList(0, UPSTREAMS / 3).forEach(this::lose);
            case ALL_LOST -> all.forEach(this::lose);
        }
    }

    private void lose(SimulatedUpstream upstream) {
        String name = upstream.description().name();
        upstream.lose();
        time.after(DETECTION_MICROS, () -> entries.forEach(entry -> entry.onLinkLost(name)));
    }
}
