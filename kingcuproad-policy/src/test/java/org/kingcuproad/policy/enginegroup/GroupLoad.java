package org.kingcuproad.policy.enginegroup;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.Set;
import java.util.stream.IntStream;
import org.kingcuproad.policy.gateway.GroupedStatistics;
import org.kingcuproad.policy.gateway.LeastCostSelector;
import org.kingcuproad.policy.gateway.QueueAdmissionDecision;
import org.kingcuproad.policy.gateway.SchedulingAttributes;
import org.kingcuproad.policy.gateway.StreamAdmissionDecision;
import org.kingcuproad.policy.gateway.UpstreamCandidate;

/** Streams in virtual time at three groups of 24 ranks, whose state the agents of ranks 0 and 1 report. */
final class GroupLoad {

    static final int GROUPS = 3;
    static final int RANKS = 24;
    static final int SLOTS = 7;
    private static final int EVENTS = 23;
    private static final double PASS_MS = 80;
    private static final long CLIENT_TIMEOUT_MS = 8_000;
    private static final long START_DEADLINE_MS = 1_500;

    private final EngineGroups groups = new EngineGroups();
    private final GroupedStatistics statistics = new GroupedStatistics();
    private final List<Stream> running = new ArrayList<>();
    private final List<Long> queuedMs = new ArrayList<>();
    private final int[] inFlight = new int[GROUPS * RANKS];
    private final long[] epochs = new long[GROUPS];
    private int rotation;

    /** Duration of a group's passes in relation to the usual one. */
    final double[] passFactor = {1, 1, 1};

    final double[] slowdown = new double[GROUPS * RANKS];
    final boolean[] copying = new boolean[GROUPS];
    final boolean[] broken = new boolean[GROUPS];
    final int[] started = new int[GROUPS];
    final Set<Integer> knownBroken = new HashSet<>();
    boolean agentsReport = true;
    int refused;
    int refusedWithCapacity;
    int sentToKnownBroken;

    private static final class Stream {
        private final int rank;
        private double passes;

        private Stream(int rank) {
            this.rank = rank;
        }
    }

    GroupLoad() {
        java.util.Arrays.fill(slowdown, 1);
    }

    static int group(int rank) {
        return rank / RANKS;
    }

    static String host(int rank) {
        return "10.0." + group(rank) + "." + rank % RANKS;
    }

    /** Crashes a rank; the gateway notices that the connection of a request there ended. */
    void crash(int group, long nowMs) {
        broken[group] = true;
        knownBroken.add(group);
        groups.onRankCrashed(host(group * RANKS + 5), nowMs);
        List<Stream> lost =
                running.stream().filter(stream -> group(stream.rank) == group).toList();
        running.removeAll(lost);
        lost.forEach(stream -> inFlight[stream.rank]--);
        lost.forEach(stream -> submit(nowMs));
    }

    void reopen(int group, long nowMs) {
        broken[group] = false;
        knownBroken.remove(group);
        epochs[group]++;
        report(nowMs);
    }

    /** Advances by a millisecond. */
    void tick(long nowMs) {
        if (agentsReport && nowMs % 700 == 0) {
            report(nowMs);
        }
        for (Stream stream : List.copyOf(running)) {
            int group = group(stream.rank);
            double before = stream.passes;
            stream.passes += broken[group] ? 0 : 1 / (PASS_MS * passFactor[group]);
            if (Math.floor(stream.passes) > Math.floor(before)) {
                recordEvent(stream.rank, before < 1, nowMs);
            }
            if (stream.passes >= EVENTS) {
                running.remove(stream);
                inFlight[stream.rank]--;
                statistics.service().onSlotReleased(nowMs);
                statistics
                        .ofGroup(groups.standing(host(stream.rank), nowMs))
                        .ifPresent(known -> known.onSlotReleased(nowMs));
            }
        }
        dispatch(nowMs);
    }

    private void recordEvent(int rank, boolean first, long nowMs) {
        double intervalMs = PASS_MS * passFactor[group(rank)];
        statistics.service().onEvent(nowMs);
        statistics.ofGroup(groups.standing(host(rank), nowMs)).ifPresent(known -> {
            known.onEventInterval(intervalMs);
            if (first) {
                known.onResponseStarted(intervalMs, nowMs);
            }
        });
    }

    private void report(long nowMs) {
        for (int group = 0; group < GROUPS; group++) {
            int first = group * RANKS;
            List<String> members = IntStream.range(first, first + RANKS)
                    .mapToObj(GroupLoad::host)
                    .toList();
            groups.onReport(
                    host(first),
                    new GroupReport(
                            "g" + group,
                            epochs[group],
                            0,
                            RANKS,
                            !broken[group],
                            copying[group],
                            PASS_MS * passFactor[group],
                            members),
                    nowMs);
        }
    }

    void submit(long nowMs) {
        queuedMs.add(nowMs);
        dispatch(nowMs);
        if (queuedMs.isEmpty()) {
            return;
        }
        List<GroupStanding> standings = groups.standings(nowMs);
        boolean refuse = QueueAdmissionDecision.of(
                                new SchedulingAttributes(nowMs, nowMs + 403, nowMs + START_DEADLINE_MS, 0),
                                queuedMs.size(),
                                statistics.standing(standings),
                                nowMs)
                        .refused()
                || StreamAdmissionDecision.of(EVENTS, statistics.standing(standings), CLIENT_TIMEOUT_MS, nowMs)
                        .refused();
        if (refuse) {
            queuedMs.removeLast();
            refused++;
            boolean capacity = candidates(nowMs).stream().anyMatch(UpstreamCandidate::hasCapacity);
            refusedWithCapacity += capacity ? 1 : 0;
        }
    }

    private void dispatch(long nowMs) {
        refused += (int) queuedMs.stream()
                .filter(atMs -> nowMs > atMs + START_DEADLINE_MS)
                .count();
        queuedMs.removeIf(atMs -> nowMs > atMs + START_DEADLINE_MS);
        while (!queuedMs.isEmpty()) {
            OptionalInt rank = LeastCostSelector.select(candidates(nowMs), true, rotation++);
            if (rank.isEmpty()) {
                return;
            }
            queuedMs.removeFirst();
            int group = group(rank.getAsInt());
            sentToKnownBroken += knownBroken.contains(group) ? 1 : 0;
            started[group]++;
            inFlight[rank.getAsInt()]++;
            running.add(new Stream(rank.getAsInt()));
        }
    }

    private List<UpstreamCandidate> candidates(long nowMs) {
        return IntStream.range(0, GROUPS * RANKS)
                .mapToObj(rank -> {
                    Optional<GroupStanding> standing = groups.standing(host(rank), nowMs);
                    return new UpstreamCandidate(
                            inFlight[rank],
                            standing.map(group -> group.rampedLimit(SLOTS)).orElse(SLOTS),
                            0,
                            0,
                            0,
                            slowdown[rank],
                            false,
                            standing.map(GroupStanding::takesRequests).orElse(true),
                            standing);
                })
                .toList();
    }
}
