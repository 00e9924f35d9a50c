package org.kingcuproad.policy.mapswitch;

import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.Supplier;
import java.util.stream.IntStream;
import org.jspecify.annotations.Nullable;
import org.kingcuproad.policy.Explorer;
import org.kingcuproad.policy.Fingerprint;

/** A group of ranks with engines, two coordinators and a list of messages under way, which arrive in any order. */
final class GroupWorld implements Explorer.World {

    /** A mechanism that is switched off, to show that the checker finds what it prevents. */
    enum Weakness {
        NONE,
        PROMISE_AFTER_QUERY,
        PROMISE_WITHOUT_HOLD,
        INCARNATION_NOT_CHECKED,
        RESTART_WITHOUT_JOINING
    }

    static final long OLD_MAP = 1;

    /** A message under way to a rank, or to a coordinator. */
    record Mail(int to, Object content) {}

    /** An answer to a coordinator. */
    record Promise(int rank, RankEffect.AnswerPrepare answer, long incarnation) {}

    private record Action(String kind, Object subject, Runnable run) {}

    final int ranks;
    final Weakness weakness;
    final RankSwitch[] agents;
    final FakeEngine[] engines;
    final SwitchCoordinator[] coordinators;
    final long[] incarnations;
    final Set<Mail> mail = new LinkedHashSet<>();
    final boolean checksFencing;
    final long lastStep;
    int crashesLeft;
    /** Set to read a trace that the explorer prints; texts of messages are costly to build at each step. */
    static final boolean TRACED = Boolean.getBoolean("kingcuproad.trace");

    long done;
    long now = 1;

    @Nullable
    String wrong;

    GroupWorld(int ranks, List<SwitchId> switches, int crashes, int extraSteps, Weakness weakness) {
        this.ranks = ranks;
        this.weakness = weakness;
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
        while (!mail.isEmpty()) {
            deliver(mail.iterator().next());
        }
        coordinators = new SwitchCoordinator[switches.size()];
        for (int i = 0; i < coordinators.length; i++) {
            coordinators[i] = new SwitchCoordinator(i + 1L, switches.get(i), incarnations);
            send(coordinators[i].start(Long.MAX_VALUE / 2, now));
        }
    }

    static Supplier<GroupWorld> of(int ranks, List<SwitchId> switches, int crashes, Weakness weakness) {
        return () -> new GroupWorld(ranks, switches, crashes, 0, weakness);
    }

    private List<Action> possible() {
        List<Action> actions = new ArrayList<>();
        mail.forEach(message -> actions.add(new Action("deliver ", message, () -> deliver(message))));
        for (int i = 0; i < ranks; i++) {
            int rank = i;
            if (done < lastStep && engines[rank].mayBegin(done + 1)) {
                actions.add(new Action("begin ", rank, () -> begin(rank)));
            }
            if (engines[rank].waitsAt(done + 1) && !agents[rank].idle()) {
                actions.add(new Action(
                        "at hold ", rank, () -> carryOut(rank, agents[rank].engineAtHold(done + 1, now))));
            }
            if (crashesLeft > 0) {
                actions.add(new Action("agent crash ", rank, () -> crash(rank, false)));
                actions.add(new Action("rank crash ", rank, () -> crash(rank, true)));
            }
        }
        return actions;
    }

    @Override
    public int actions() {
        return possible().size();
    }

    @Override
    public String act(int action) {
        Action chosen = possible().get(action);
        chosen.run().run();
        return TRACED ? chosen.kind() + chosen.subject() : chosen.kind();
    }

    @Override
    public Object fingerprint() {
        return Fingerprint.of(agents, engines, coordinators, mail, crashesLeft, done);
    }

    @Override
    public Optional<String> violation() {
        return Optional.ofNullable(wrong);
    }

    void deliver(Mail message) {
        mail.remove(message);
        arrive(message);
    }

    void arrive(Mail message) {
        int to = message.to();
        switch (weakness == Weakness.INCARNATION_NOT_CHECKED && to >= 0 ? weakened(message) : message.content()) {
            case Promise promise
            when to < 0 ->
                send(coordinators[-1 - to].answer(
                        promise.rank(),
                        promise.answer().id(),
                        promise.incarnation(),
                        promise.answer().promised(),
                        promise.answer().refusal(),
                        now));
            case PrepareMap prepare -> carryOut(to, agents[to].prepare(prepare, now));
            case SettleMap settle -> carryOut(to, agents[to].settle(settle, now));
            case PeerReply reply -> carryOut(to, agents[to].reply(reply, now));
            case PeerQuery query -> query(to, query);
            default -> throw new IllegalStateException(message.toString());
        }
    }

    void tickAll() {
        now += RankSwitch.ASK_INTERVAL_MS;
        IntStream.range(0, ranks).forEach(rank -> carryOut(rank, agents[rank].tick(now)));
    }

    void tickCoordinators() {
        now += SwitchCoordinator.RESEND_MS;
        for (SwitchCoordinator coordinator : coordinators) {
            send(coordinator.tick(now));
        }
    }

    /** Delivers everything and lets engines and time run on, until the last step is done or the rounds are used up. */
    boolean ends(int rounds) {
        for (int round = 0; round < rounds && wrong == null; round++) {
            List.copyOf(mail).forEach(this::deliver);
            for (int rank = 0; rank < ranks; rank++) {
                if (engines[rank].waitsAt(done + 1)) {
                    carryOut(rank, agents[rank].engineAtHold(done + 1, now));
                }
                if (done < lastStep && engines[rank].mayBegin(done + 1)) {
                    begin(rank);
                }
            }
            tickAll();
            if (done == lastStep && mail.isEmpty()) {
                return true;
            }
        }
        return false;
    }

    void begin(int rank) {
        engines[rank].begin(done + 1);
        agents[rank].engineStep(done + 1);
        if (IntStream.range(0, ranks).allMatch(i -> engines[i].begun == done + 1)) {
            done++;
            long maps = IntStream.range(0, ranks)
                    .mapToLong(i -> engines[i].begunMap)
                    .distinct()
                    .count();
            if (maps != 1) {
                wrong = "step " + done + " has " + maps + " maps";
            }
        }
    }

    void crash(int rank, boolean withEngine) {
        crashesLeft--;
        incarnations[rank] += 100;
        if (withEngine) {
            engines[rank] = new FakeEngine(checksFencing, 0, done);
        }
        agents[rank] = new RankSwitch(ranks, rank, incarnations[rank]);
        carryOut(rank, agents[rank].start());
        if (weakness == Weakness.RESTART_WITHOUT_JOINING) {
            engines[rank].join(OLD_MAP, null);
        }
    }

    /** Makes every message look as if it were meant for, and came from, the incarnations of now. */
    private Object weakened(Mail message) {
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
        boolean weak = weakness == Weakness.PROMISE_AFTER_QUERY;
        if (!weak || id == null || engines[to].waitsAt(id.step())) {
            carryOut(to, agents[to].query(query, now));
        } else {
            boolean committed = agents[to].committed().filter(id::equals).isPresent();
            PeerState state = committed ? new PeerState.Committed() : new PeerState.NotPromised();
            mail.add(new Mail(query.from(), new PeerReply(to, query.view(), query.round(), state)));
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
                boolean held = weakness == Weakness.PROMISE_WITHOUT_HOLD
                        || engine.hold(hold.id().step());
                carryOut(rank, agent.engineHeld(hold.id(), held));
            }
            case RankEffect.SwitchEngine command -> engine.schedule(command.id());
            case RankEffect.AbortEngine ignored -> engine.release();
            case RankEffect.FreezeEngine ignored -> carryOut(rank, agent.engineFrozen(engine.freeze(), now));
            case RankEffect.JoinEngine join -> engine.join(join.baseMap(), join.committed());
            case RankEffect.AnswerPrepare answer -> {
                for (int i = 0; i < coordinators.length; i++) {
                    mail.add(new Mail(-1 - i, new Promise(rank, answer, incarnations[rank])));
                }
            }
            case RankEffect.Ask ask -> mail.add(new Mail(ask.to(), ask.query()));
            case RankEffect.Answer answer -> mail.add(new Mail(answer.to(), answer.reply()));
        }
    }

    private void send(List<CoordinatorEffect> effects) {
        for (CoordinatorEffect effect : effects) {
            switch (effect) {
                case CoordinatorEffect.SendPrepare prepare -> mail.add(new Mail(prepare.rank(), prepare.request()));
                case CoordinatorEffect.SendSettle settle -> mail.add(new Mail(settle.rank(), settle.settle()));
                case CoordinatorEffect.Finished ignored -> {}
            }
        }
    }
}
