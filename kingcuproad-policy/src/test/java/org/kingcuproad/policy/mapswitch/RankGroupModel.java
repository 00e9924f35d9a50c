package org.kingcuproad.policy.mapswitch;

import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.Supplier;
import java.util.stream.IntStream;
import org.jspecify.annotations.Nullable;
import org.kingcuproad.policy.Fingerprint;
import org.kingcuproad.policy.ModelChecker;

/**
 * Model of a group of ranks with their engines, one or more coordinators and the messages in flight, which are
 * delivered in any order.
 */
final class RankGroupModel implements ModelChecker.Model {

    /** Safety mechanisms that can be disabled, to show that the tests detect the resulting violation. */
    enum Mutation {
        NONE,
        PROMISE_AFTER_QUERY,
        PROMISE_WITHOUT_HOLD,
        INCARNATION_NOT_CHECKED,
        RESTART_WITHOUT_JOINING
    }

    static final long OLD_MAP = 1;

    /** A message in flight to a rank, or to a coordinator if the receiver is negative. */
    record Message(int to, Object content) {}

    /** The answer of a rank to a coordinator. */
    record Promise(int rank, RankEffect.AnswerPrepare answer, long incarnation) {}

    private record Action(String kind, Object subject, Runnable run) {}

    final int ranks;
    final Mutation mutation;
    final RankSwitch[] agents;
    final FakeEngine[] engines;
    final SwitchCoordinator[] coordinators;
    final long[] incarnations;
    final Set<Message> messages = new LinkedHashSet<>();
    final boolean checksFencing;
    final long lastStep;
    int crashesLeft;
    /**
     * Includes messages in the traces of the model checker. Off by default, because building the text of a message at
     * every step is expensive.
     */
    static final boolean TRACE_MESSAGES = Boolean.getBoolean("kingcuproad.trace");

    long completedStep;
    long nowMs = 1;

    @Nullable
    String violation;

    RankGroupModel(int ranks, List<SwitchId> switches, int crashes, int extraSteps, Mutation mutation) {
        this.ranks = ranks;
        this.mutation = mutation;
        this.checksFencing = extraSteps % 2 == 1;
        this.crashesLeft = crashes;
        this.lastStep =
                extraSteps + switches.stream().mapToLong(SwitchId::step).max().orElse(0);
        agents = new RankSwitch[ranks];
        engines = new FakeEngine[ranks];
        incarnations = new long[ranks];
        for (int rank = 0; rank < ranks; rank++) {
            engines[rank] = new FakeEngine(checksFencing, OLD_MAP, 0);
            incarnations[rank] = rank + 1L;
            agents[rank] = new RankSwitch(ranks, rank, incarnations[rank]);
        }
        IntStream.range(0, ranks).forEach(rank -> carryOut(rank, agents[rank].start()));
        while (!messages.isEmpty()) {
            deliver(messages.iterator().next());
        }
        coordinators = new SwitchCoordinator[switches.size()];
        for (int i = 0; i < coordinators.length; i++) {
            coordinators[i] = new SwitchCoordinator(i + 1L, switches.get(i), incarnations);
            send(coordinators[i].start(Long.MAX_VALUE / 2, nowMs));
        }
    }

    static Supplier<RankGroupModel> of(int ranks, List<SwitchId> switches, int crashes, Mutation mutation) {
        return () -> new RankGroupModel(ranks, switches, crashes, 0, mutation);
    }

    private List<Action> enabledActions() {
        List<Action> actions = new ArrayList<>();
        messages.forEach(message -> actions.add(new Action("deliver ", message, () -> deliver(message))));
        for (int i = 0; i < ranks; i++) {
            int rank = i;
            if (completedStep < lastStep && engines[rank].canBegin(completedStep + 1)) {
                actions.add(new Action("begin ", rank, () -> begin(rank)));
            }
            if (engines[rank].isHeldAt(completedStep + 1) && !agents[rank].idle()) {
                actions.add(new Action(
                        "at hold ", rank, () -> carryOut(rank, agents[rank].engineAtHold(completedStep + 1, nowMs))));
            }
            if (crashesLeft > 0) {
                actions.add(new Action("agent crash ", rank, () -> crash(rank, false)));
                actions.add(new Action("rank crash ", rank, () -> crash(rank, true)));
            }
        }
        return actions;
    }

    @Override
    public int actionCount() {
        return enabledActions().size();
    }

    @Override
    public String perform(int action) {
        Action chosen = enabledActions().get(action);
        chosen.run().run();
        return TRACE_MESSAGES ? chosen.kind() + chosen.subject() : chosen.kind();
    }

    @Override
    public Object fingerprint() {
        return Fingerprint.of(agents, engines, coordinators, messages, crashesLeft, completedStep);
    }

    @Override
    public Optional<String> violation() {
        return Optional.ofNullable(violation);
    }

    void deliver(Message message) {
        messages.remove(message);
        process(message);
    }

    void process(Message message) {
        int to = message.to();
        switch (mutation == Mutation.INCARNATION_NOT_CHECKED && to >= 0 ? mutated(message) : message.content()) {
            case Promise promise
            when to < 0 ->
                send(coordinators[-1 - to].onPrepareAnswer(
                        promise.rank(),
                        promise.answer().id(),
                        promise.incarnation(),
                        promise.answer().promised(),
                        promise.answer().refusal(),
                        nowMs));
            case PrepareMap prepare -> carryOut(to, agents[to].prepare(prepare, nowMs));
            case SettleMap settle -> carryOut(to, agents[to].settle(settle, nowMs));
            case PeerReply reply -> carryOut(to, agents[to].reply(reply, nowMs));
            case PeerQuery query -> query(to, query);
            default -> throw new IllegalStateException(message.toString());
        }
    }

    void tickAll() {
        nowMs += RankSwitch.QUERY_INTERVAL_MS;
        IntStream.range(0, ranks).forEach(rank -> carryOut(rank, agents[rank].tick(nowMs)));
    }

    void tickCoordinators() {
        nowMs += SwitchCoordinator.RESEND_INTERVAL_MS;
        for (SwitchCoordinator coordinator : coordinators) {
            send(coordinator.tick(nowMs));
        }
    }

    /**
     * Delivers all messages and advances engines and time until the last step is completed or the number of rounds is
     * reached.
     */
    boolean runToCompletion(int rounds) {
        for (int round = 0; round < rounds && violation == null; round++) {
            List.copyOf(messages).forEach(this::deliver);
            for (int rank = 0; rank < ranks; rank++) {
                if (engines[rank].isHeldAt(completedStep + 1)) {
                    carryOut(rank, agents[rank].engineAtHold(completedStep + 1, nowMs));
                }
                if (completedStep < lastStep && engines[rank].canBegin(completedStep + 1)) {
                    begin(rank);
                }
            }
            tickAll();
            if (completedStep == lastStep && messages.isEmpty()) {
                return true;
            }
        }
        return false;
    }

    void begin(int rank) {
        engines[rank].begin(completedStep + 1);
        agents[rank].engineStep(completedStep + 1);
        if (IntStream.range(0, ranks).allMatch(i -> engines[i].begunStep == completedStep + 1)) {
            completedStep++;
            long maps = IntStream.range(0, ranks)
                    .mapToLong(i -> engines[i].begunMap)
                    .distinct()
                    .count();
            if (maps != 1) {
                violation = "step " + completedStep + " has " + maps + " maps";
            }
        }
    }

    void crash(int rank, boolean withEngine) {
        crashesLeft--;
        incarnations[rank] += 100;
        if (withEngine) {
            engines[rank] = new FakeEngine(checksFencing, 0, completedStep);
        }
        agents[rank] = new RankSwitch(ranks, rank, incarnations[rank]);
        carryOut(rank, agents[rank].start());
        if (mutation == Mutation.RESTART_WITHOUT_JOINING) {
            engines[rank].join(OLD_MAP, null);
        }
    }

    /** Rewrites a message so that it names the current incarnations of its sender and its receiver. */
    private Object mutated(Message message) {
        long view = agents[message.to()].viewHash();
        long incarnation = incarnations[message.to()];
        return switch (message.content()) {
            case PrepareMap prepare -> new PrepareMap(prepare.fence(), prepare.id(), view, incarnation);
            case SettleMap settle -> new SettleMap(settle.id(), view, incarnation, settle.commit());
            case PeerQuery query -> new PeerQuery(query.from(), view, incarnation, query.round(), query.id());
            case PeerReply reply -> new PeerReply(reply.from(), view, reply.round(), reply.state());
            default -> message.content();
        };
    }

    private void query(int to, PeerQuery query) {
        SwitchId id = query.id();
        boolean mutated = mutation == Mutation.PROMISE_AFTER_QUERY;
        if (!mutated || id == null || engines[to].isHeldAt(id.step())) {
            carryOut(to, agents[to].query(query, nowMs));
        } else {
            boolean committed = agents[to].committed().filter(id::equals).isPresent();
            PeerState state = committed ? new PeerState.Committed() : new PeerState.NotPromised();
            messages.add(new Message(query.from(), new PeerReply(to, query.view(), query.round(), state)));
        }
    }

    private void carryOut(int rank, List<RankEffect> effects) {
        effects.forEach(effect -> carryOut(rank, effect));
    }

    private void carryOut(int rank, RankEffect effect) {
        FakeEngine engine = engines[rank];
        RankSwitch agent = agents[rank];
        switch (effect) {
            case RankEffect.LoadEngine load ->
                carryOut(
                        rank,
                        engine.accepts(load.fence())
                                ? agent.engineLoaded(load.id())
                                : agent.engineRefused(load.id(), engine.highestFence()));
            case RankEffect.HoldEngine hold -> {
                boolean held = mutation == Mutation.PROMISE_WITHOUT_HOLD
                        || engine.hold(hold.id().step());
                carryOut(rank, agent.engineHeld(hold.id(), held));
            }
            case RankEffect.SwitchEngine command -> engine.schedule(command.id());
            case RankEffect.AbortEngine ignored -> engine.release();
            case RankEffect.FreezeEngine ignored -> carryOut(rank, agent.engineFrozen(engine.freeze(), nowMs));
            case RankEffect.JoinEngine join -> engine.join(join.baseMap(), join.committed());
            case RankEffect.AnswerPrepare answer -> {
                for (int i = 0; i < coordinators.length; i++) {
                    messages.add(new Message(-1 - i, new Promise(rank, answer, incarnations[rank])));
                }
            }
            case RankEffect.SendQuery send -> messages.add(new Message(send.to(), send.query()));
            case RankEffect.SendReply send -> messages.add(new Message(send.to(), send.reply()));
        }
    }

    private void send(List<CoordinatorEffect> effects) {
        for (CoordinatorEffect effect : effects) {
            switch (effect) {
                case CoordinatorEffect.SendPrepare prepare ->
                    messages.add(new Message(prepare.rank(), prepare.request()));
                case CoordinatorEffect.SendSettle settle -> messages.add(new Message(settle.rank(), settle.settle()));
                case CoordinatorEffect.Finished ignored -> {}
            }
        }
    }
}
