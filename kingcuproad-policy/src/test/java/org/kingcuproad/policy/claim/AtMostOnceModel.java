package org.kingcuproad.policy.claim;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.EnumSet;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeMap;
import org.jspecify.annotations.Nullable;
import org.kingcuproad.model.ErrorKind;
import org.kingcuproad.model.Execution;
import org.kingcuproad.policy.Fingerprint;
import org.kingcuproad.policy.ModelChecker;

/**
 * Model of callers, entries, agents and a store as a list of events, which are processed in order of time or in any
 * order.
 */
final class AtMostOnceModel implements ModelChecker.Model {

    /** Faults that the model can inject. */
    enum Fault {
        ENTRY_CRASH,
        AGENT_RESTART,
        UPSTREAM_CHANGE,
        STORE_OUTAGE,
        LOST_RESPONSE,
        DELAYED_WRITE,
        MESSAGE_LOSS,
        PAUSE
    }

    /** Safety mechanisms that can be disabled, to show that the tests detect the resulting violation. */
    enum Mutation {
        NONE,
        RUN_BEFORE_CLAIM,
        INCARNATION_NOT_CHECKED,
        FENCE_IGNORED,
        UNCONDITIONAL_WRITES,
        TIMEOUT_REPORTED_AS_NOT_RUN
    }

    /** An event at the process of one incarnation, or a global event if the incarnation is zero. */
    record Event(long atMs, long incarnation, String name, Runnable run) {}

    /** The result that a caller received for one request. */
    record Report(String key, String requestId, Execution execution) {}

    static final List<String> UPSTREAMS = List.of("a", "b", "c");

    final Set<Fault> faults;
    final Mutation mutation;
    final SplittableRandom random;
    final boolean timed;
    final FakeStore store;
    final List<Event> events = new ArrayList<>();
    final Map<String, ModelAgent> agents = new TreeMap<>();
    final Map<String, Integer> runsOfKey = new TreeMap<>();
    final Set<String> requestsRun = new HashSet<>();
    final List<Report> reports = new ArrayList<>();
    private final Map<String, Boolean> answered = new HashMap<>();
    private final Map<String, Integer> attempts = new HashMap<>();
    private final Map<Long, Long> pausedUntilMs = new HashMap<>();
    private List<String> upstreams = UPSTREAMS;
    long nowMs = 1_000_000;
    private long lastIncarnation;
    private int maxTries;
    private int crashesLeft;
    /**
     * Number of timers that may still fire if events are processed in any order. Each one lets a store call time out,
     * which is equivalent to a lost response.
     */
    private int timersLeft;

    private long outageFromMs = Long.MAX_VALUE;
    private long outageToMs;

    AtMostOnceModel(long seed, Set<Fault> faults, Mutation mutation, boolean timed, int tries) {
        this.faults = faults;
        this.mutation = mutation;
        this.timed = timed;
        this.maxTries = tries;
        random = new SplittableRandom(seed);
        store = new FakeStore(mutation != Mutation.UNCONDITIONAL_WRITES);
        UPSTREAMS.forEach(this::startAgent);
        timersLeft = timed ? Integer.MAX_VALUE : faults.contains(Fault.LOST_RESPONSE) ? 1 : 0;
        crashesLeft = faults.contains(Fault.AGENT_RESTART) ? 1 : 0;
        if (timed) {
            planFaults();
        }
    }

    private void planFaults() {
        if (faults.contains(Fault.STORE_OUTAGE)) {
            outageFromMs = nowMs + random.nextInt(4_000);
            outageToMs = outageFromMs + random.nextInt(500, 6_000);
        }
        if (faults.contains(Fault.UPSTREAM_CHANGE)) {
            at(random.nextInt(6_000), 0, "upstreams change", this::changeUpstreams);
        }
        for (String upstream : UPSTREAMS) {
            if (faults.contains(Fault.AGENT_RESTART)) {
                at(random.nextInt(6_000), 0, "restart " + upstream, () -> startAgent(upstream));
            }
            if (faults.contains(Fault.PAUSE)) {
                at(
                        random.nextInt(5_000),
                        0,
                        "pause " + upstream,
                        () -> pausedUntilMs.put(agent(upstream).incarnation, nowMs + random.nextInt(200, 5_000)));
            }
        }
    }

    void changeUpstreams() {
        String owner = owner();
        upstreams =
                UPSTREAMS.stream().filter(upstream -> !upstream.equals(owner)).toList();
    }

    private String owner() {
        return ClaimKey.owner("e", 0, upstreams).orElseThrow();
    }

    void startAgent(String upstream) {
        agents.put(upstream, new ModelAgent(this, upstream, ++lastIncarnation));
    }

    ModelAgent agent(String upstream) {
        return Objects.requireNonNull(agents.get(upstream));
    }

    /** Sends one request of a caller through an entry. */
    void call(String key, int number) {
        String requestId = key + "#" + number;
        String owner = owner();
        long incarnation = agent(owner).incarnation;
        Optional<BoundKey> bound = BoundKey.parse(key);
        DispatchRequest request = new DispatchRequest(
                requestId, 1, bound.map(BoundKey::incarnation).orElse(incarnation), false, "w", key, 7);
        dispatch(bound.map(BoundKey::upstream).orElse(owner), request, false);
        if (timed && faults.contains(Fault.ENTRY_CRASH) && random.nextInt(3) == 0) {
            answered.put(requestId, true);
        }
        if (timed && number < maxTries) {
            at(2_500 + random.nextInt(2_000), 0, "retry " + requestId, () -> call(key, number + 1));
        }
    }

    private void dispatch(String upstream, DispatchRequest request, boolean askingClaimant) {
        if (!messageLost()) {
            at(
                    delay(),
                    0,
                    "dispatch " + request + " to " + upstream,
                    () -> agent(upstream)
                            .dispatch(
                                    mutated(upstream, request),
                                    answer -> at(
                                            delay(),
                                            0,
                                            "answer " + request.requestId() + answer,
                                            () -> onAnswer(request, answer, askingClaimant))));
        }
        attempts.put(request.requestId(), request.attempt());
        if (timed) {
            at(1_500, 0, "timeout " + request, () -> onTimeout(upstream, request));
        }
    }

    private void onAnswer(DispatchRequest request, ModelAgent.Reply answer, boolean askingClaimant) {
        if (messageLost() || !isCurrentAttempt(request) || answered.containsKey(request.requestId())) {
            return;
        }
        String claimant = answer.upstream();
        if (claimant != null && !askingClaimant) {
            DispatchRequest next =
                    new DispatchRequest(request.requestId(), 2, answer.incarnation(), false, "w", request.key(), 7);
            dispatch(claimant, next, true);
        } else if (claimant != null || (askingClaimant && answer.kind() == ErrorKind.NO_UPSTREAM)) {
            report(request, Execution.UNKNOWN);
        } else {
            report(request, answer.execution());
        }
    }

    /** Fences the attempt after the entry has received no answer. */
    private void onTimeout(String upstream, DispatchRequest request) {
        if (answered.containsKey(request.requestId()) || !isCurrentAttempt(request)) {
            return;
        }
        if (mutation == Mutation.TIMEOUT_REPORTED_AS_NOT_RUN) {
            report(request, Execution.NOT_RUN);
            return;
        }
        at(3_000, 0, "overall timeout " + request, () -> report(request, Execution.UNKNOWN));
        if (messageLost()) {
            return;
        }
        at(delay(), 0, "fence " + request, () -> {
            FenceDecision decision =
                    agent(upstream).record.fence(request.requestId(), request.attempt(), request.incarnation(), nowMs);
            at(delay(), 0, "fenced " + request + decision, () -> {
                switch (decision) {
                    case FENCED_NOT_RUN ->
                        report(request, request.attempt() == 1 ? Execution.NOT_RUN : Execution.UNKNOWN);
                    case RAN -> report(request, Execution.RAN);
                    case UNKNOWN_INCARNATION -> report(request, Execution.UNKNOWN);
                    case RUNNING -> {}
                }
            });
        });
    }

    /**
     * Returns whether an answer concerns the latest attempt; answers for earlier attempts are not conclusive for the
     * request.
     */
    private boolean isCurrentAttempt(DispatchRequest request) {
        return request.attempt() == attempts.getOrDefault(request.requestId(), 0);
    }

    private void report(DispatchRequest request, Execution execution) {
        if (isCurrentAttempt(request) && answered.put(request.requestId(), true) == null) {
            reports.add(new Report(Objects.requireNonNull(request.key()), request.requestId(), execution));
        }
    }

    void storeCall(ModelAgent agent, long callId, StoreCall call) {
        boolean write = !(call instanceof StoreCall.ListKeys || call instanceof StoreCall.Read);
        at(delay(), 0, "store " + agent.incarnation + call, () -> {
            if (nowMs >= outageFromMs && nowMs < outageToMs) {
                return;
            }
            if (write && occurs(Fault.DELAYED_WRITE)) {
                at(random.nextInt(500, 4_000), 0, "delayed " + call, () -> store.apply(call));
                return;
            }
            StoreResult result = store.apply(call);
            if (!(write && occurs(Fault.LOST_RESPONSE))) {
                at(delay(), agent.incarnation, "result " + callId + result, () -> agent.onStoreResult(callId, result));
            }
        });
    }

    private boolean occurs(Fault fault) {
        return timed && faults.contains(fault) && random.nextInt(4) == 0;
    }

    private boolean messageLost() {
        return occurs(Fault.MESSAGE_LOSS);
    }

    private int delay() {
        boolean slow = timed && random.nextInt(20) == 0;
        return slow ? random.nextInt(3_000) : timed ? random.nextInt(1, 6) : 1;
    }

    private DispatchRequest mutated(String upstream, DispatchRequest request) {
        long incarnation = agent(upstream).incarnation;
        if (mutation != Mutation.INCARNATION_NOT_CHECKED) {
            return request;
        }
        String key = Optional.ofNullable(request.key())
                .flatMap(BoundKey::parse)
                .map(bound -> new BoundKey(upstream, incarnation, bound.random()).text())
                .orElse(request.key());
        return new DispatchRequest(
                request.requestId(), request.attempt(), incarnation, false, "w", key, request.requestDigest());
    }

    void recordRun(DispatchRequest request) {
        String key = Objects.requireNonNull(request.key());
        String countedKey =
                BoundKey.parse(key).map(bound -> "bound" + bound.random()).orElse(key);
        runsOfKey.merge(countedKey, 1, Integer::sum);
        requestsRun.add(request.requestId());
    }

    void at(long delayMs, long incarnation, String name, Runnable run) {
        events.add(new Event(nowMs + delayMs, incarnation, name, run));
    }

    /** Reschedules the timer of an agent. */
    void timer(ModelAgent agent, long atMs) {
        events.removeIf(event ->
                event.incarnation() == agent.incarnation && event.name().startsWith("tick"));
        if (timersLeft <= 0) {
            return;
        }
        events.add(new Event(Math.max(atMs, nowMs + 1), agent.incarnation, "tick" + agent.incarnation, () -> {
            timersLeft--;
            agent.tick();
        }));
    }

    boolean alive(long incarnation) {
        return incarnation == 0 || agents.values().stream().anyMatch(agent -> agent.incarnation == incarnation);
    }

    /** Processes events in order of time; events of a paused process are postponed to the end of the pause. */
    void runUntil(long endMs) {
        while (true) {
            Optional<Event> next = events.stream().min(Comparator.comparingLong(this::dueMs));
            if (next.isEmpty() || dueMs(next.get()) > endMs) {
                return;
            }
            carryOut(next.get());
        }
    }

    private long dueMs(Event event) {
        return Math.max(event.atMs(), pausedUntilMs.getOrDefault(event.incarnation(), 0L));
    }

    private void carryOut(Event event) {
        events.remove(event);
        nowMs = Math.max(nowMs + (timed ? 0 : 1), dueMs(event));
        if (alive(event.incarnation())) {
            event.run().run();
        }
    }

    @Override
    public int actionCount() {
        events.removeIf(event -> event.name().startsWith("tick") && timersLeft <= 0);
        return events.size() + (crashesLeft > 0 ? 2 : 0);
    }

    @Override
    public String perform(int action) {
        if (action < events.size()) {
            Event event = events.get(action);
            carryOut(event);
            return event.name();
        }
        crashesLeft--;
        List<String> restartable = List.of(ClaimKey.owner("e", 0, UPSTREAMS).orElseThrow(), owner());
        String upstream = restartable.get(action - events.size());
        startAgent(upstream);
        return "restart " + upstream;
    }

    @Override
    public Object fingerprint() {
        List<Object> shards = new ArrayList<>();
        agents.values().forEach(agent -> shards.add(agent.state()));
        List<String> pending = events.stream()
                .filter(event -> alive(event.incarnation()))
                .map(Event::name)
                .sorted()
                .toList();
        List<Object> objects = new ArrayList<>();
        store.objects.forEach((key, stored) -> objects.add(
                List.of(key, stored.version(), Segment.decode(stored.value()).flatMap(Segment::batches))));
        return Fingerprint.of(shards, objects, pending, runsOfKey, requestsRun, reports, crashesLeft, timersLeft);
    }

    @Override
    public Optional<String> violation() {
        Optional<String> repeatedRun = runsOfKey.entrySet().stream()
                .filter(entry -> entry.getValue() > 1)
                .map(entry -> entry.getKey() + " ran " + entry.getValue() + " times")
                .findFirst();
        return repeatedRun.or(() -> reports.stream()
                .filter(this::isFalse)
                .map(report -> "reported " + report)
                .findFirst());
    }

    private boolean isFalse(Report report) {
        String countedKey = BoundKey.parse(report.key())
                .map(bound -> "bound" + bound.random())
                .orElse(report.key());
        return switch (report.execution()) {
            case NOT_RUN -> requestsRun.contains(report.requestId());
            case RAN -> runsOfKey.getOrDefault(countedKey, 0) != 1;
            case UNKNOWN -> false;
        };
    }

    static Set<Fault> faults(@Nullable Fault first, @Nullable Fault second) {
        Set<Fault> result = EnumSet.noneOf(Fault.class);
        Optional.ofNullable(first).ifPresent(result::add);
        Optional.ofNullable(second).ifPresent(result::add);
        return result;
    }
}
