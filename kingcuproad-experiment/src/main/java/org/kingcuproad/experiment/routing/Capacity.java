package org.kingcuproad.experiment.routing;

import org.kingcuproad.policy.routing.RoutedUpstream;

/**
 * Measures the capacity that loads are ratios of: what one upstream completes when requests always wait for it, drawn
 * from the whole workload. The figure does not depend on a routing policy; a policy that raises the cache hit share can
 * exceed it.
 */
final class Capacity {

    private static final int OUTSTANDING = 2 * SimulatedUpstream.BATCH;
    private static final long WARM_UP_MICROS = 30_000_000;
    private static final long END_MICROS = 330_000_000;

    private final VirtualTime time = new VirtualTime();
    private final Workload workload;
    private final SimulatedUpstream upstream;
    private long completed;

    private Capacity(long seed) {
        workload = new Workload(seed, 1);
        RoutedUpstream description = new RoutedUpstream("upstream", "data-centre", Simulation.GROUP, 1);
        upstream = new SimulatedUpstream(description, 1, time, new Measures(0));
    }

    static double requestsPerSecond(long seed) {
        return new Capacity(seed).measure() * Simulation.UPSTREAMS;
    }

    private double measure() {
        for (int request = 0; request < OUTSTANDING; request++) {
            submit();
        }
        time.runUntil(END_MICROS);
        return completed / ((END_MICROS - WARM_UP_MICROS) / 1e6);
    }

    private void submit() {
        upstream.submit(new Attempt(workload.next(), true, new Attempt.Listener() {
            @Override
            public void onFirstToken(Attempt attempt) {}

            @Override
            public void onCompleted(Attempt attempt) {
                completed += time.nowMicros() >= WARM_UP_MICROS ? 1 : 0;
                submit();
            }

            @Override
            public void onFailed(Attempt attempt) {}
        }));
    }
}
