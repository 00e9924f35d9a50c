package org.kingcuproad.experiment.routing;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import org.kingcuproad.policy.routing.LoadReport;
import org.kingcuproad.policy.routing.RoutedUpstream;

/**
 * A model engine with continuous batching: each step gives every decoding request one token and computes a chunk of the
 * prompts that are not yet computed. Requests beyond the batch wait; urgent ones go first, in order of arrival.
 */
final class SimulatedUpstream {

    /** Requests in one batch. */
    static final int BATCH = 16;

    /** Blocks of 64 tokens that fit into the prefix cache. */
    private static final int CACHE_BLOCKS = 2_000;

    /** A full batch with a full chunk takes 12 + 16 x 0.5 + 10.2 = 30.2 ms, just within the objective of 33 ms. */
    private static final double STEP_BASE_MICROS = 12_000;

    private static final double STEP_MICROS_PER_REQUEST = 500;
    private static final double PREFILL_MICROS_PER_TOKEN = 40;
    private static final int PREFILL_CHUNK_TOKENS = 256;

    /** Heartbeats tell after 1.5 s that an upstream is gone (design page, 5.2). */
    private static final long DETECTION_MICROS = 1_500_000;

    private final RoutedUpstream description;
    private final long incarnation;
    private final VirtualTime time;
    private final Measures measures;
    private final BlockCache cache = new BlockCache(CACHE_BLOCKS);
    private final Deque<Attempt> waiting = new ArrayDeque<>();
    private final Deque<Attempt> urgentWaiting = new ArrayDeque<>();
    private final List<Attempt> running = new ArrayList<>();
    private double slowFactor = 1;
    private boolean stepping;
    private boolean lost;
    private long sequence;
    private long tokens;

    SimulatedUpstream(RoutedUpstream description, long incarnation, VirtualTime time, Measures measures) {
        this.description = description;
        this.incarnation = incarnation;
        this.time = time;
        this.measures = measures;
    }

    RoutedUpstream description() {
        return description;
    }

    void slowDown(double factor) {
        slowFactor = factor;
    }

    boolean lost() {
        return lost;
    }

    /** The upstream goes silent; what runs on it fails when the heartbeats are missed. */
    void lose() {
        lost = true;
        List<Attempt> all = new ArrayList<>(running);
        all.addAll(urgentWaiting);
        all.addAll(waiting);
        running.clear();
        urgentWaiting.clear();
        waiting.clear();
        all.forEach(this::failLater);
    }

    private void failLater(Attempt attempt) {
        time.after(DETECTION_MICROS, () -> {
            if (!attempt.cancelled()) {
                attempt.listener().onFailed(attempt);
            }
        });
    }

    void submit(Attempt attempt) {
        if (lost) {
            failLater(attempt);
            return;
        }
        (attempt.urgent() ? urgentWaiting : waiting).addLast(attempt);
        startStep();
    }

    private void startStep() {
        if (stepping || lost) {
            return;
        }
        running.removeIf(Attempt::cancelled);
        fillBatch(urgentWaiting);
        fillBatch(waiting);
        if (running.isEmpty()) {
            return;
        }
        int computed = prefill(true, PREFILL_CHUNK_TOKENS);
        computed += prefill(false, PREFILL_CHUNK_TOKENS - computed);
        long decoding =
                running.stream().filter(attempt -> !attempt.prefilling()).count();
        double stepMicros = STEP_BASE_MICROS + STEP_MICROS_PER_REQUEST * decoding + PREFILL_MICROS_PER_TOKEN * computed;
        long duration = (long) (stepMicros * slowFactor);
        stepping = true;
        time.after(duration, () -> finishStep(duration, decoding));
    }

    private void fillBatch(Deque<Attempt> queue) {
        while (running.size() < BATCH && !queue.isEmpty()) {
            Attempt next = queue.removeFirst();
            if (!next.cancelled()) {
                int matched = cache.match(next.prefix());
                measures.onPromptStarted(time.nowMicros(), next.prefix().blocks(), matched);
                next.start(matched);
                running.add(next);
            }
        }
    }

    private int prefill(boolean urgent, int budget) {
        int computed = 0;
        for (Attempt attempt : running) {
            if (attempt.urgent() == urgent && attempt.prefilling()) {
                computed += attempt.prefill(budget - computed);
                if (!attempt.prefilling()) {
                    cache.add(attempt.prefix());
                }
            }
        }
        return computed;
    }

    private void finishStep(long durationMicros, long decoding) {
        stepping = false;
        if (lost) {
            return;
        }
        measures.onStep(time.nowMicros(), durationMicros, decoding);
        tokens += decoding;
        List<Attempt> completed = new ArrayList<>();
        for (Attempt attempt : running) {
            if (!attempt.cancelled() && !attempt.prefilling() && attempt.emit()) {
                completed.add(attempt);
            }
        }
        running.removeAll(completed);
        completed.forEach(attempt -> attempt.listener().onCompleted(attempt));
        startStep();
    }

    /** Takes a report now; the simulation delivers it late. */
    LoadReport report(long loadAgeMs) {
        double tokensPerSecond = tokens;
        tokens = 0;
        return new LoadReport(
                incarnation,
                sequence++,
                running.size(),
                urgentWaiting.size() + waiting.size(),
                tokensPerSecond,
                false,
                loadAgeMs,
                cache.drainEvents());
    }
}
