package org.kingcuproad.policy.mapswitch;

import java.util.ArrayList;
import java.util.BitSet;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import org.jspecify.annotations.Nullable;

/**
 * One incarnation of one rank in the map switches of its group.
 *
 * <p>A switch commits if and only if every rank promised it within one view, that is with one set of incarnations. A
 * commit of the coordinator counts as long as the rank has not begun to settle and its view is that of its promise.
 * Otherwise the rank asks all others; they answer only within the same view, and what they answer for a view does not
 * change afterwards except that it becomes the decision that follows from it. A rank that has decided says so in every
 * later view. A new incarnation stops its engine, joins with what the others settled, and only then lets the engine go
 * on; since no step runs without all ranks, nothing runs in between.
 *
 * <p>If the engine restarts without its agent, the agent replaces this object by one with a new incarnation.
 */
public final class RankSwitch {

    /** Time after which unanswered questions are asked again, in milliseconds. */
    public static final long ASK_INTERVAL_MS = 200;

    private final int rank;
    private final GroupView view;
    private final List<RankEffect> effects = new ArrayList<>();
    private final Map<Integer, PeerState> replies = new HashMap<>();
    private RankPhase phase = RankPhase.FREEZING;
    private @Nullable PrepareMap pending;
    private @Nullable SwitchId committed;
    private long baseMap;
    private long closedStep;
    private long begunStep;
    private long highestFence;
    private long round;
    private long askAtMs;
    private final long[] changedRound;
    private final BitSet outstanding = new BitSet();
    private long askedRound;
    private boolean probing;
    /** Also ask ranks that answered: one of them may have restarted since, which another rank has noticed already. */
    private boolean askAll;
    /** All others answered, but one has not settled; a rank that joins asks them all again. */
    private boolean roundOver;

    /**
     * Creates a rank that has to join its group.
     *
     * @param ranks number of ranks of the group
     * @param rank number of this rank, from zero
     * @param incarnation random number of this incarnation, not zero
     */
    public RankSwitch(int ranks, int rank, long incarnation) {
        this.rank = rank;
        this.view = new GroupView(ranks, rank, incarnation);
        this.changedRound = new long[ranks];
    }

    /**
     * Starts by stopping the engine.
     *
     * @return what to carry out
     */
    public List<RankEffect> start() {
        effects.add(new RankEffect.FreezeEngine());
        return take();
    }

    /**
     * Notes that the engine starts no further step, and joins the group.
     *
     * @param engineMap version of the map that the engine used last, or zero if it has none
     * @param nowMs present time
     * @return what to carry out
     */
    public List<RankEffect> engineFrozen(long engineMap, long nowMs) {
        if (phase == RankPhase.FREEZING) {
            baseMap = engineMap;
            phase = RankPhase.JOINING;
            startRound(nowMs);
            evaluate();
        }
        return take();
    }

    /**
     * Takes a request of a coordinator.
     *
     * @param request the request
     * @param nowMs present time
     * @return what to carry out
     */
    public List<RankEffect> prepare(PrepareMap request, long nowMs) {
        dropUnpromisedOfLowerFence(request);
        Optional<String> refusal = refusalOf(request);
        highestFence = Math.max(highestFence, request.fence());
        if (refusal.isPresent()) {
            effects.add(new RankEffect.AnswerPrepare(request.id(), false, refusal.get(), highestFence));
            if (phase == RankPhase.PROMISED && pending != null && request.fence() > pending.fence()) {
                settleAmongRanks(nowMs);
            }
        } else if (phase == RankPhase.IDLE) {
            pending = request;
            phase = RankPhase.PREPARING;
            effects.add(new RankEffect.LoadEngine(request.fence(), request.id()));
        } else if (phase != RankPhase.PREPARING) {
            effects.add(new RankEffect.AnswerPrepare(request.id(), true, "", highestFence));
        }
        return take();
    }

    /**
     * Notes that the engine has the weights of a switch.
     *
     * @param id the switch
     * @return what to carry out
     */
    public List<RankEffect> engineLoaded(SwitchId id) {
        PrepareMap request = pending;
        if (phase == RankPhase.PREPARING && request != null && request.id().equals(id)) {
            effects.add(new RankEffect.HoldEngine(request.fence(), id));
        }
        return take();
    }

    /**
     * Notes that the engine refused a command because its fencing token is old.
     *
     * @param id the switch
     * @param engineFence highest fencing token that the engine saw
     * @return what to carry out
     */
    public List<RankEffect> engineRefused(SwitchId id, long engineFence) {
        highestFence = Math.max(highestFence, engineFence);
        if (phase == RankPhase.PREPARING && pending != null && pending.id().equals(id)) {
            refusePending("the engine saw a higher fencing token");
        }
        return take();
    }

    /**
     * Notes the result of a hold. A promise needs it: without the hold the engine would start the step on its own.
     *
     * @param id the switch
     * @param held whether the hold is set; {@code false} if the step has begun
     * @return what to carry out
     */
    public List<RankEffect> engineHeld(SwitchId id, boolean held) {
        if (phase == RankPhase.PREPARING && pending != null && pending.id().equals(id)) {
            if (held) {
                phase = RankPhase.PROMISED;
                effects.add(new RankEffect.AnswerPrepare(id, true, "", highestFence));
            } else {
                refusePending("the step has begun");
            }
        }
        return take();
    }

    /**
     * Notes that the engine waits at the step of a promised switch.
     *
     * @param step the step that is held
     * @param nowMs present time
     * @return what to carry out
     */
    public List<RankEffect> engineAtHold(long step, long nowMs) {
        if (phase == RankPhase.PROMISED && pending != null && pending.id().step() == step) {
            settleAmongRanks(nowMs);
        }
        return take();
    }

    /**
     * Notes how far the engine is. A switch is promised only after the one before it took place, because an engine
     * keeps one scheduled switch.
     *
     * @param step last step that the engine began
     */
    public void engineStep(long step) {
        begunStep = Math.max(begunStep, step);
    }

    /**
     * Takes the coordinator's word.
     *
     * @param settle the message
     * @param nowMs present time
     * @return what to carry out
     */
    public List<RankEffect> settle(SettleMap settle, long nowMs) {
        PrepareMap request = pending;
        if (request == null || !settle.id().equals(request.id()) || settle.incarnation() != view.incarnation(rank)) {
            return take();
        }
        boolean valid = settle.commit() && settle.view() == request.view() && settle.view() == view.hash();
        if (phase == RankPhase.PREPARING && !settle.commit()) {
            refusePending("the coordinator gave up");
        } else if (phase == RankPhase.PROMISED && valid) {
            commit(request.fence(), request.id());
        } else if (phase == RankPhase.PROMISED) {
            settleAmongRanks(nowMs);
        }
        return take();
    }

    /**
     * Takes a question of another rank.
     *
     * @param query the question
     * @param nowMs present time
     * @return what to carry out
     */
    public List<RankEffect> query(PeerQuery query, long nowMs) {
        effects.add(new RankEffect.Answer(
                query.from(), new PeerReply(rank, query.view(), query.round(), stateFor(query, nowMs))));
        return take();
    }

    /**
     * Takes an answer of another rank.
     *
     * @param reply the answer
     * @param nowMs present time
     * @return what to carry out
     */
    public List<RankEffect> reply(PeerReply reply, long nowMs) {
        if (reply.round() == askedRound) {
            outstanding.clear(reply.from());
        }
        if (reply.state() instanceof PeerState.OtherIncarnation other) {
            // The query named the incarnation that is known now, so the one that answered is newer.
            if (reply.round() >= changedRound[reply.from()]) {
                changeView(reply.from(), other.incarnation());
            }
        } else if (reply.view() != view.hash() || reply.round() != round) {
            askWhenAllAnswered(nowMs);
            return take();
        } else if (reply.state() instanceof PeerState.OtherView) {
            askAll = true;
        } else {
            replies.put(reply.from(), reply.state());
            evaluate();
        }
        askWhenAllAnswered(nowMs);
        return take();
    }

    /**
     * Lets time pass: repeats unanswered questions.
     *
     * @param nowMs present time
     * @return what to carry out
     */
    public List<RankEffect> tick(long nowMs) {
        if (asking() && nowMs >= askAtMs) {
            if (roundOver) {
                replies.clear();
                round++;
            }
            ask(nowMs);
        }
        return take();
    }

    /**
     * Tells whether the engine may run and no switch is pending.
     *
     * @return {@code true} if the rank has joined and settled everything
     */
    public boolean idle() {
        return phase == RankPhase.IDLE;
    }

    /**
     * Returns the last committed switch.
     *
     * @return the switch, or empty if none was committed since the group started
     */
    public Optional<SwitchId> committed() {
        return Optional.ofNullable(committed);
    }

    /**
     * Returns the hash of the incarnations of all ranks as this rank knows them.
     *
     * @return the view
     */
    public long viewHash() {
        return view.hash();
    }

    private void dropUnpromisedOfLowerFence(PrepareMap request) {
        PrepareMap before = pending;
        if (phase == RankPhase.PREPARING
                && before != null
                && request.fence() > before.fence()
                && !request.id().equals(before.id())) {
            refusePending("a higher fencing token was seen");
        }
    }

    private Optional<String> refusalOf(PrepareMap request) {
        PrepareMap before = pending;
        if (request.fence() < highestFence) {
            return Optional.of("a higher fencing token was seen");
        }
        if (request.incarnation() != view.incarnation(rank) || request.view() != view.hash()) {
            return Optional.of("the incarnations of the ranks have changed");
        }
        if (before != null) {
            return before.id().equals(request.id()) && before.view() == request.view()
                    ? Optional.empty()
                    : Optional.of("another switch is pending");
        }
        if (phase != RankPhase.IDLE) {
            return Optional.of("the rank is joining");
        }
        if (committed != null && begunStep < committed.step()) {
            return Optional.of("the last switch has not taken place");
        }
        boolean past = request.id().step() <= closedStep
                || (committed != null
                        && (request.id().step() <= committed.step()
                                || request.id().mapVersion() <= committed.mapVersion()))
                || request.id().mapVersion() <= baseMap;
        return past ? Optional.of("the step or the map version is settled") : Optional.empty();
    }

    private PeerState stateFor(PeerQuery query, long nowMs) {
        if (query.incarnation() != view.incarnation(rank)) {
            return new PeerState.OtherIncarnation(view.incarnation(rank));
        }
        if (phase == RankPhase.FREEZING) {
            return new PeerState.OtherView();
        }
        if (query.view() != view.hash()) {
            probe(nowMs);
            return new PeerState.OtherView();
        }
        SwitchId id = query.id();
        if (id == null) {
            SwitchId open = pending != null && phase != RankPhase.PREPARING ? pending.id() : null;
            return new PeerState.Status(open, committed, baseMap, closedStep, highestFence);
        }
        return voteFor(id, nowMs);
    }

    private PeerState voteFor(SwitchId id, long nowMs) {
        // An engine that outlived its agent may be inside the step already; its map is then the decision.
        if (id.equals(committed) || id.mapVersion() == baseMap) {
            return new PeerState.Committed();
        }
        PrepareMap request = pending;
        if (request != null && request.id().equals(id)) {
            if (phase == RankPhase.PROMISED) {
                settleAmongRanks(nowMs);
            }
            if (phase == RankPhase.SETTLING) {
                return new PeerState.Promised();
            }
            refusePending("another rank asked first");
        }
        boolean settled = id.step() <= closedStep;
        closedStep = Math.max(closedStep, id.step());
        return settled ? new PeerState.Aborted() : new PeerState.NotPromised();
    }

    private void refusePending(String reason) {
        PrepareMap request = Objects.requireNonNull(pending);
        abort(request);
        effects.add(new RankEffect.AnswerPrepare(request.id(), false, reason, highestFence));
    }

    private void settleAmongRanks(long nowMs) {
        phase = RankPhase.SETTLING;
        startRound(nowMs);
        evaluate();
    }

    /** Begins a new round, which is asked when the answers of the last one are in: they may change the view further. */
    private void changeView(int changedRank, long incarnation) {
        view.update(changedRank, incarnation);
        if (phase == RankPhase.PREPARING) {
            refusePending("the incarnations of the ranks have changed");
        }
        if (phase == RankPhase.PROMISED) {
            phase = RankPhase.SETTLING;
        }
        replies.clear();
        round += round == askedRound ? 1 : 0;
        changedRound[changedRank] = round;
    }

    private void askWhenAllAnswered(long nowMs) {
        if (round != askedRound && outstanding.isEmpty() && asking()) {
            ask(nowMs);
        }
    }

    private void probe(long nowMs) {
        if (asking()) {
            askAll = true;
        } else {
            probing = true;
            startRound(nowMs);
        }
    }

    private boolean asking() {
        return phase == RankPhase.JOINING || phase == RankPhase.SETTLING || probing;
    }

    private void startRound(long nowMs) {
        replies.clear();
        round++;
        ask(nowMs);
    }

    private void ask(long nowMs) {
        SwitchId id = phase == RankPhase.SETTLING && pending != null ? pending.id() : null;
        for (int peer = 0; peer < view.ranks(); peer++) {
            if (peer != rank && (askAll || !replies.containsKey(peer))) {
                outstanding.set(peer);
                effects.add(
                        new RankEffect.Ask(peer, new PeerQuery(rank, view.hash(), view.incarnation(peer), round, id)));
            }
        }
        askAll = false;
        roundOver = false;
        askedRound = round;
        askAtMs = nowMs + ASK_INTERVAL_MS;
    }

    private void evaluate() {
        if (replies.size() < view.ranks() - 1) {
            return;
        }
        probing = false;
        PrepareMap request = pending;
        if (phase == RankPhase.JOINING) {
            join();
        } else if (phase == RankPhase.SETTLING && request != null) {
            boolean anyCommitted = replies.containsValue(new PeerState.Committed());
            boolean allPromised = replies.values().stream().allMatch(PeerState.Promised.class::isInstance);
            if (anyCommitted || allPromised) {
                commit(request.fence(), request.id());
            } else {
                abort(request);
            }
        }
    }

    private void join() {
        List<PeerState.Status> peers = replies.values().stream()
                .filter(PeerState.Status.class::isInstance)
                .map(PeerState.Status.class::cast)
                .toList();
        if (peers.stream().anyMatch(peer -> peer.pending() != null)) {
            roundOver = true;
            return;
        }
        PeerState.Status group = peers.stream()
                .reduce(new PeerState.Status(null, null, baseMap, closedStep, highestFence), PeerState.Status::merge);
        committed = group.committed();
        baseMap = group.baseMap();
        closedStep = group.closedStep();
        highestFence = group.highestFence();
        phase = RankPhase.IDLE;
        effects.add(new RankEffect.JoinEngine(baseMap, committed));
    }

    private void commit(long fence, SwitchId id) {
        baseMap = committed == null ? baseMap : committed.mapVersion();
        committed = id;
        closedStep = Math.max(closedStep, id.step());
        pending = null;
        phase = RankPhase.IDLE;
        effects.add(new RankEffect.SwitchEngine(fence, id));
    }

    private void abort(PrepareMap request) {
        closedStep = Math.max(closedStep, request.id().step());
        pending = null;
        phase = RankPhase.IDLE;
        effects.add(new RankEffect.AbortEngine(request.fence()));
    }

    private List<RankEffect> take() {
        List<RankEffect> result = List.copyOf(effects);
        effects.clear();
        return result;
    }
}
