package org.kingcuproad.policy.enginegroup;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.stream.IntStream;
import org.kingcuproad.policy.gateway.GroupedStatistics;
import org.kingcuproad.policy.gateway.LeastCostSelector;
import org.kingcuproad.policy.gateway.QueueAdmissionDecision;
import org.kingcuproad.policy.gateway.SchedulingAttributes;
import org.kingcuproad.policy.gateway.UpstreamCandidate;

/** Streams in virtual time at three groups of 24 ranks, whose state the agents of rank 0 report. */
final class GroupLoad {

    static final int RANKS = 24;
    private static final int ALL_RANKS = 3 * RANKS;
    private static final int SLOTS = 7;
    private static final int EVENTS = 23;
    private static final double PASS_MS = 80;
    private static final long START_DEADLINE_MS = 1_500;

    final double[] passFactors = {1, 1, 1};
    final double[] slowdowns = new double[ALL_RANKS];
    final boolean[] copying = new boolean[3];
    final int[] started = new int[3];
    int refused;
    int refusedWithCapacity;
    int sentToBroken;

    private final EngineGroups groups = new EngineGroups();
    private final GroupedStatistics statistics = new GroupedStatistics();
    private final List<Stream> running = new ArrayList<>();
    private final List<Long> queuedMs = new ArrayList<>();
    private final int[] inFlight = new int[ALL_RANKS];
    private final boolean[] broken = new boolean[3];
    private long epoch;
    private int rotation;

    private record Stream(int rank, double[] passes) {}

    GroupLoad() {
        Arrays.fill(slowdowns, 1);
    }

    private static String host(int rank) {
        return "10.0.0." + rank;
    }

    /** Crashes a rank; the gateway notices it by the end of a connection, and the streams of the group start again. */
    void crash(int group, long nowMs) {
        broken[group] = true;
        groups.onRankCrashed(host(group * RANKS + 5), nowMs);
        List<Stream> lost =
                running.stream().filter(stream -> stream.rank / RANKS == group).toList();
        running.removeAll(lost);
        lost.forEach(stream -> inFlight[stream.rank]--);
        lost.forEach(stream -> submit(nowMs));
    }

    void reopen(int group, long nowMs) {
        broken[group] = false;
        epoch++;
        report(nowMs);
    }

    void play(long fromMs, long untilMs, double perSecond) {
        for (long nowMs = fromMs; nowMs < untilMs; nowMs++) {
            if (nowMs % 700 == 0) {
                report(nowMs);
            }
            advance(nowMs);
            dispatch(nowMs);
            if (Math.floor((nowMs + 1) * perSecond / 1_000) > Math.floor(nowMs * perSecond / 1_000)) {
                submit(nowMs);
            }
        }
    }

    private void advance(long nowMs) {
        running.forEach(stream -> {
            int group = stream.rank / RANKS;
            stream.passes[0] += broken[group] ? 0 : 1 / (PASS_MS * passFactors[group]);
            if (stream.passes[0] >= EVENTS) {
                inFlight[stream.rank]--;
                statistics.service().onSlotReleased(nowMs);
                statistics
                        .ofGroup(groups.standing(host(stream.rank), nowMs))
                        .ifPresent(known -> known.onSlotReleased(nowMs));
            }
        });
        running.removeIf(stream -> stream.passes[0] >= EVENTS);
    }

    private void report(long nowMs) {
        for (int group = 0; group < 3; group++) {
            int first = group * RANKS;
            List<String> members = IntStream.range(first, first + RANKS)
                    .mapToObj(GroupLoad::host)
                    .toList();
            double passMs = PASS_MS * passFactors[group];
            groups.onReport(
                    host(first),
                    new GroupReport("g" + group, epoch, 0, RANKS, !broken[group], copying[group], passMs, members),
                    nowMs);
        }
    }

    private void submit(long nowMs) {
        queuedMs.add(nowMs);
        dispatch(nowMs);
        SchedulingAttributes request = new SchedulingAttributes(nowMs, nowMs + 403, nowMs + START_DEADLINE_MS, 0);
        if (!queuedMs.isEmpty()
                && QueueAdmissionDecision.of(
                                request, queuedMs.size(), statistics.standing(groups.standings(nowMs)), nowMs)
                        .refused()) {
            queuedMs.removeLast();
            refused++;
            boolean capacity = candidates(nowMs).stream().anyMatch(UpstreamCandidate::hasCapacity);
            refusedWithCapacity += capacity ? 1 : 0;
        }
    }

    private void dispatch(long nowMs) {
        int queued = queuedMs.size();
        queuedMs.removeIf(atMs -> nowMs > atMs + START_DEADLINE_MS);
        refused += queued - queuedMs.size();
        while (!queuedMs.isEmpty()) {
            OptionalInt rank = LeastCostSelector.select(candidates(nowMs), true, rotation++);
            if (rank.isEmpty()) {
                return;
            }
            queuedMs.removeFirst();
            int group = rank.getAsInt() / RANKS;
            sentToBroken += broken[group] ? 1 : 0;
            started[group]++;
            inFlight[rank.getAsInt()]++;
            running.add(new Stream(rank.getAsInt(), new double[1]));
        }
    }

    private List<UpstreamCandidate> candidates(long nowMs) {
        return IntStream.range(0, ALL_RANKS)
                .mapToObj(rank -> {
                    Optional<GroupStanding> group = groups.standing(host(rank), nowMs);
                    int limit = group.map(known -> known.rampedLimit(SLOTS)).orElse(SLOTS);
                    boolean takes = group.map(GroupStanding::takesRequests).orElse(true);
                    return new UpstreamCandidate(inFlight[rank], limit, 0, 0, 0, slowdowns[rank], false, takes, group);
                })
                .toList();
    }
}
