package org.kingcuproad.emulator.engine;

import java.util.ArrayDeque;

/** Load figures of an engine over time, read with a lag. */
final class LoadHistory {

    private static final long RATE_WINDOW_NS = 1_000_000_000L;

    private final long lagNs;
    private final ArrayDeque<Sample> samples = new ArrayDeque<>();

    LoadHistory(long lagNs) {
        this.lagNs = lagNs;
        samples.add(new Sample(Long.MIN_VALUE / 2, 0, 0, 0));
    }

    void record(long nowNs, int running, int waiting, long tokens) {
        samples.addLast(new Sample(nowNs, running, waiting, tokens));
        while (samples.size() > 2 && secondNs() < nowNs - lagNs - RATE_WINDOW_NS) {
            samples.removeFirst();
        }
    }

    Sample at(long nowNs) {
        return before(nowNs - lagNs);
    }

    long tokensPerSecond(long nowNs) {
        return at(nowNs).tokens() - before(nowNs - lagNs - RATE_WINDOW_NS).tokens();
    }

    private Sample before(long timeNs) {
        Sample found = samples.getFirst();
        for (Sample sample : samples) {
            if (sample.timeNs() > timeNs) {
                break;
            }
            found = sample;
        }
        return found;
    }

    private long secondNs() {
        return samples.stream().skip(1).findFirst().map(Sample::timeNs).orElse(Long.MAX_VALUE);
    }

    /**
     * Load at one time.
     *
     * @param timeNs when it was recorded
     * @param running runs in progress
     * @param waiting requests in the queue
     * @param tokens tokens produced since the start of the engine
     */
    record Sample(long timeNs, int running, int waiting, long tokens) {}
}
