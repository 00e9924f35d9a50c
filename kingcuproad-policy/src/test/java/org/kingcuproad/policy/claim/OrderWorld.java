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
import org.kingcuproad.policy.Explorer;
import org.kingcuproad.policy.Fingerprint;

/** Callers, entries, agents and a store as a list of events, carried out in order of time or in any order. */
final class OrderWorld implements Explorer.World {

    /** What goes wrong. */
    enum Fault {
        ENTRY_DIES,
        AGENT_RESTARTS,
        UPSTREAMS_CHANGE,
        STORE_OUTAGE,
        LOST_RESPONSE,
        LATE_WRITE,
        SILENT_LINK,
        PAUSE
    }

    /** A mechanism that is switched off. */
    enum Weakness {
        NONE,
        RUN_BEFORE_CLAIM,
        INCARNATION_NOT_CHECKED,
        FENCE_IGNORED,
        UNCONDITIONAL_WRITES,
        SILENCE_IS_NOT_RUN
    }

    /** Something that happens to a process of one incarnation, or to the world if there is none. */
    record Event(long atMs, long incarnation, String name, Runnable run) {}

    /** What a caller was told about one request. */
    record Told(String key, String requestId, Execution execution) {}

    static final List<String> UPSTREAMS = List.of("a", "b", "c");

    final Set<Fault> faults;
    final Weakness weakness;
    final SplittableRandom random;
    final boolean timed;
    final FakeStore store;
    final List<Event> events = new ArrayList<>();
    final Map<String, OrderAgent> agents = new TreeMap<>();
    final Map<String, Integer> runsOfKey = new TreeMap<>();
    final Set<String> requestsRun = new HashSet<>();
    final List<Told> told = new ArrayList<>();
    private final Map<String, Boolean> answered = new HashMap<>();
    private final Map<String, Integer> attempts = new HashMap<>();
    private final Map<Long, Long> pausedUntilMs = new HashMap<>();
    private List<String> upstreams = UPSTREAMS;
    long nowMs = 1_000_000;
    private long lastIncarnation;
    private int triesLeft;
    private int crashesLeft;
    /** Timers that may fire when events come in any order: each lets a store call time out, that is lose a response. */
    private int timersLeft;

    private long outageFromMs = Long.MAX_VALUE;
    private long outageToMs;

    OrderWorld(long seed, Set<Fault> faults, Weakness weakness, boolean timed, int tries) {
        this.faults = faults;
        this.weakness = weakness;
        this.timed = timed;
        this.triesLeft = tries;
        random = new SplittableRandom(seed);
        store = new FakeStore(weakness != Weakness.UNCONDITIONAL_WRITES);
        UPSTREAMS.forEach(this::start);
        timersLeft = timed ? Integer.MAX_VALUE : faults.contains(Fault.LOST_RESPONSE) ? 1 : 0;
        crashesLeft = faults.contains(Fault.AGENT_RESTARTS) ? 1 : 0;
        if (timed) {
            planFaults();
        }
    }

    private void planFaults() {
        if (faults.contains(Fault.STORE_OUTAGE)) {
            outageFromMs = nowMs + random.nextInt(4_000);
            outageToMs = outageFromMs + random.nextInt(500, 6_000);
        }
        if (faults.contains(Fault.UPSTREAMS_CHANGE)) {
            at(random.nextInt(6_000), 0, "upstreams change", this::changeUpstreams);
        }
        for (String upstream : UPSTREAMS) {
            if (faults.contains(Fault.AGENT_RESTARTS)) {
                at(random.nextInt(6_000), 0, "restart " + upstream, () -> start(upstream));
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

    void start(String upstream) {
        agents.put(upstream, new OrderAgent(this, upstream, ++lastIncarnation));
    }

    OrderAgent agent(String upstream) {
        return Objects.requireNonNull(agents.get(upstream));
    }

    /** One call of a caller, through some entry. */
    void call(String key, int number) {
        String requestId = key + "#" + number;
        String owner = owner();
        long incarnation = agent(owner).incarnation;
        Optional<BoundKey> bound = BoundKey.parse(key);
        Order order = new Order(requestId, 1, bound.map(BoundKey::incarnation).orElse(incarnation), false, "w", key, 7);
        dispatch(bound.map(BoundKey::upstream).orElse(owner), order, false);
        if (timed && faults.contains(Fault.ENTRY_DIES) && random.nextInt(3) == 0) {
            answered.put(requestId, true);
        }
        if (timed && number < triesLeft) {
            at(2_500 + random.nextInt(2_000), 0, "retry " + requestId, () -> call(key, number + 1));
        }
    }

    private void dispatch(String upstream, Order order, boolean askingClaimant) {
        if (!lost()) {
            at(
                    delay(),
                    0,
                    "dispatch " + order + " to " + upstream,
                    () -> agent(upstream)
                            .dispatch(
                                    weakened(upstream, order),
                                    answer -> at(
                                            delay(),
                                            0,
                                            "answer " + order.requestId() + answer,
                                            () -> answered(order, answer, askingClaimant))));
        }
        attempts.put(order.requestId(), order.attempt());
        if (timed) {
            at(1_500, 0, "silence " + order, () -> silence(upstream, order));
        }
    }

    private void answered(Order order, OrderAgent.Reply answer, boolean askingClaimant) {
        if (lost() || !current(order) || answered.containsKey(order.requestId())) {
            return;
        }
        String claimant = answer.upstream();
        if (claimant != null && !askingClaimant) {
            Order next = new Order(order.requestId(), 2, answer.incarnation(), false, "w", order.key(), 7);
            dispatch(claimant, next, true);
        } else if (claimant != null || (askingClaimant && answer.kind() == ErrorKind.NO_UPSTREAM)) {
            tell(order, Execution.UNKNOWN);
        } else {
            tell(order, answer.execution());
        }
    }

    /** The entry heard nothing: it fences the attempt. */
    private void silence(String upstream, Order order) {
        if (answered.containsKey(order.requestId()) || !current(order)) {
            return;
        }
        if (weakness == Weakness.SILENCE_IS_NOT_RUN) {
            tell(order, Execution.NOT_RUN);
            return;
        }
        at(3_000, 0, "give up " + order, () -> tell(order, Execution.UNKNOWN));
        if (lost()) {
            return;
        }
        at(delay(), 0, "fence " + order, () -> {
            FenceDecision decision =
                    agent(upstream).record.fence(order.requestId(), order.attempt(), order.incarnation(), nowMs);
            at(delay(), 0, "fenced " + order + decision, () -> {
                switch (decision) {
                    case FENCED_NOT_RUN -> tell(order, order.attempt() == 1 ? Execution.NOT_RUN : Execution.UNKNOWN);
                    case RAN -> tell(order, Execution.RAN);
                    case UNKNOWN_INCARNATION -> tell(order, Execution.UNKNOWN);
                    case RUNNING -> {}
                }
            });
        });
    }

    /** An answer about an earlier attempt says nothing about the request. */
    private boolean current(Order order) {
        return order.attempt() == attempts.getOrDefault(order.requestId(), 0);
    }

    private void tell(Order order, Execution execution) {
        if (current(order) && answered.put(order.requestId(), true) == null) {
            told.add(new Told(Objects.requireNonNull(order.key()), order.requestId(), execution));
        }
    }

    void storeCall(OrderAgent agent, long callId, StoreCall call) {
        boolean write = !(call instanceof StoreCall.ListKeys || call instanceof StoreCall.Read);
        at(delay(), 0, "store " + agent.incarnation + call, () -> {
            if (nowMs >= outageFromMs && nowMs < outageToMs) {
                return;
            }
            if (write && chance(Fault.LATE_WRITE)) {
                at(random.nextInt(500, 4_000), 0, "late " + call, () -> store.apply(call));
                return;
            }
            StoreResult result = store.apply(call);
            if (!(write && chance(Fault.LOST_RESPONSE))) {
                at(delay(), agent.incarnation, "result " + callId + result, () -> agent.result(callId, result));
            }
        });
    }

    private boolean chance(Fault fault) {
        return timed && faults.contains(fault) && random.nextInt(4) == 0;
    }

    private boolean lost() {
        return chance(Fault.SILENT_LINK);
    }

    private int delay() {
        boolean slow = timed && random.nextInt(20) == 0;
        return slow ? random.nextInt(3_000) : timed ? random.nextInt(1, 6) : 1;
    }

    private Order weakened(String upstream, Order order) {
        long incarnation = agent(upstream).incarnation;
        if (weakness != Weakness.INCARNATION_NOT_CHECKED) {
            return order;
        }
        String key = Optional.ofNullable(order.key())
                .flatMap(BoundKey::parse)
                .map(bound -> new BoundKey(upstream, incarnation, bound.random()).text())
                .orElse(order.key());
        return new Order(order.requestId(), order.attempt(), incarnation, false, "w", key, order.requestDigest());
    }

    void ran(Order order) {
        String key = Objects.requireNonNull(order.key());
        String counted =
                BoundKey.parse(key).map(bound -> "bound" + bound.random()).orElse(key);
        runsOfKey.merge(counted, 1, Integer::sum);
        requestsRun.add(order.requestId());
    }

    void at(long delayMs, long incarnation, String name, Runnable run) {
        events.add(new Event(nowMs + delayMs, incarnation, name, run));
    }

    /** Replaces the timer of an agent. */
    void timer(OrderAgent agent, long atMs) {
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

    /** Carries events out in order of time; those of a paused process wait. */
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
    public int actions() {
        events.removeIf(event -> event.name().startsWith("tick") && timersLeft <= 0);
        return events.size() + (crashesLeft > 0 ? 2 : 0);
    }

    @Override
    public String act(int action) {
        if (action < events.size()) {
            Event event = events.get(action);
            carryOut(event);
            return event.name();
        }
        crashesLeft--;
        List<String> asked = List.of(ClaimKey.owner("e", 0, UPSTREAMS).orElseThrow(), owner());
        String upstream = asked.get(action - events.size());
        start(upstream);
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
        return Fingerprint.of(shards, objects, pending, runsOfKey, requestsRun, told, crashesLeft, timersLeft);
    }

    @Override
    public Optional<String> violation() {
        Optional<String> twice = runsOfKey.entrySet().stream()
                .filter(entry -> entry.getValue() > 1)
                .map(entry -> entry.getKey() + " ran " + entry.getValue() + " times")
                .findFirst();
        return twice.or(() ->
                told.stream().filter(this::wrong).map(tell -> "told " + tell).findFirst());
    }

    private boolean wrong(Told tell) {
        String counted = BoundKey.parse(tell.key())
                .map(bound -> "bound" + bound.random())
                .orElse(tell.key());
        return switch (tell.execution()) {
            case NOT_RUN -> requestsRun.contains(tell.requestId());
            case RAN -> runsOfKey.getOrDefault(counted, 0) != 1;
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
