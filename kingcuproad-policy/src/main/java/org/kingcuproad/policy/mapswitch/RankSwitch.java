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
 * State machine of one incarnation of a rank for the map switches of its group.
 *
 * <p>A switch commits if and only if every rank promised it within one view, that is, with one set of incarnations. A
 * rank accepts a commit of the coordinator only while it has not begun to settle and its view is that of its promise.
 * Otherwise it queries all other ranks. They reply only within the same view, and their reply for a view changes
 * afterwards only to the decision that follows from it. A rank that has decided reports the decision in every later
 * view. A new incarnation stops its engine, adopts the switches that the others have settled, and only then resumes the
 * engine. No step runs in the meantime, because a step needs all ranks.
 *
 * <p>If the engine restarts but the agent does not, the agent replaces this object with one of a new incarnation.
 */
public final class RankSwitch {

    /** Interval at which unanswered queries are sent again, in milliseconds. */
    public static final long QUERY_INTERVAL_MS = 200;

    private final int rank;
    private final GroupView view;
    private final List<RankEffect> effects = new ArrayList<>();
    private final Map<Integer, PeerState> replies = new HashMap<>();
    private RankPhase phase = RankPhase.FREEZING;
    private @Nullable PrepareMap pending;
    private @Nullable SwitchId committed;
    private long baseMap;
    private long closedStep;
    private long lastBegunStep;
    private long highestFence;
    private long round;
    private long nextQueryAtMs;
    private final long[] viewChangedRound;
    private final BitSet unansweredPeers = new BitSet();
    private long queriedRound;
    private boolean checkingIncarnations;
    /** Also query ranks that have replied: one may have restarted since, and another rank may have noticed already. */
    private boolean queryAllPeers;
    /** All other ranks replied, but one has not settled; a joining rank then queries all of them in a new round. */
    private boolean newRoundNeeded;

    /**
     * Creates a rank that has not joined its group yet.
     *
     * @param ranks number of ranks of the group
     * @param rank number of this rank, from zero
     * @param incarnation random number of this incarnation, not zero
     */
    public RankSwitch(int ranks, int rank, long incarnation) {
        this.rank = rank;
        this.view = new GroupView(ranks, rank, incarnation);
        this.viewChangedRound = new long[ranks];
    }

    /**
     * Starts the protocol by stopping the engine.
     *
     * @return the effects to execute
     */
    public List<RankEffect> start() {
        effects.add(new RankEffect.FreezeEngine());
        return drainEffects();
    }

    /**
     * Handles the confirmation that the engine starts no further step, and begins to join the group.
     *
     * @param engineMap version of the map that the engine used last, or zero if it has none
     * @param nowMs current time
     * @return the effects to execute
     */
    public List<RankEffect> engineFrozen(long engineMap, long nowMs) {
        if (phase == RankPhase.FREEZING) {
            baseMap = engineMap;
            phase = RankPhase.JOINING;
            startRound(nowMs);
            evaluate();
        }
        return drainEffects();
    }

    /**
     * Handles the prepare request of a coordinator.
     *
     * @param request the request
     * @param nowMs current time
     * @return the effects to execute
     */
    public List<RankEffect> prepare(PrepareMap request, long nowMs) {
        abortPreparingWithLowerFence(request);
        Optional<String> refusal = refusalReason(request);
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
        return drainEffects();
    }

    /**
     * Handles the confirmation that the engine has loaded the weights for a switch.
     *
     * @param id the switch
     * @return the effects to execute
     */
    public List<RankEffect> engineLoaded(SwitchId id) {
        PrepareMap request = pending;
        if (phase == RankPhase.PREPARING && request != null && request.id().equals(id)) {
            effects.add(new RankEffect.HoldEngine(request.fence(), id));
        }
        return drainEffects();
    }

    /**
     * Handles a command that the engine refused because it had seen a higher fencing token.
     *
     * @param id the switch
     * @param engineFence highest fencing token that the engine has seen
     * @return the effects to execute
     */
    public List<RankEffect> engineRefused(SwitchId id, long engineFence) {
        highestFence = Math.max(highestFence, engineFence);
        if (phase == RankPhase.PREPARING && pending != null && pending.id().equals(id)) {
            refusePending("the engine saw a higher fencing token");
        }
        return drainEffects();
    }

    /**
     * Handles the result of a hold. A promise needs the hold: otherwise the engine would start the step on its own.
     *
     * @param id the switch
     * @param held whether the hold is set; {@code false} if the step has begun
     * @return the effects to execute
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
        return drainEffects();
    }

    /**
     * Handles the report that the engine waits at the step of a promised switch.
     *
     * @param step the step that is held
     * @param nowMs current time
     * @return the effects to execute
     */
    public List<RankEffect> engineAtHold(long step, long nowMs) {
        if (phase == RankPhase.PROMISED && pending != null && pending.id().step() == step) {
            settleAmongRanks(nowMs);
        }
        return drainEffects();
    }

    /**
     * Updates the progress of the engine. A switch is promised only after the previous one has taken effect, because an
     * engine keeps only one scheduled switch.
     *
     * @param step last step that the engine began
     */
    public void engineStep(long step) {
        lastBegunStep = Math.max(lastBegunStep, step);
    }

    /**
     * Handles the result of a switch sent by the coordinator.
     *
     * @param settle the message
     * @param nowMs current time
     * @return the effects to execute
     */
    public List<RankEffect> settle(SettleMap settle, long nowMs) {
        PrepareMap request = pending;
        if (request == null || !settle.id().equals(request.id()) || settle.incarnation() != view.incarnation(rank)) {
            return drainEffects();
        }
        boolean valid = settle.commit() && settle.view() == request.view() && settle.view() == view.hash();
        if (phase == RankPhase.PREPARING && !settle.commit()) {
            refusePending("the coordinator gave up");
        } else if (phase == RankPhase.PROMISED && valid) {
            commit(request.fence(), request.id());
        } else if (phase == RankPhase.PROMISED) {
            settleAmongRanks(nowMs);
        }
        return drainEffects();
    }

    /**
     * Handles a query of another rank.
     *
     * @param query the query
     * @param nowMs current time
     * @return the effects to execute
     */
    public List<RankEffect> query(PeerQuery query, long nowMs) {
        effects.add(new RankEffect.SendReply(
                query.from(), new PeerReply(rank, query.view(), query.round(), stateFor(query, nowMs))));
        return drainEffects();
    }

    /**
     * Handles the reply of another rank.
     *
     * @param reply the reply
     * @param nowMs current time
     * @return the effects to execute
     */
    public List<RankEffect> reply(PeerReply reply, long nowMs) {
        if (reply.round() == queriedRound) {
            unansweredPeers.clear(reply.from());
        }
        if (reply.state() instanceof PeerState.OtherIncarnation other) {
            // The query named the incarnation that is still the latest known one, so the replying incarnation is newer.
            if (reply.round() >= viewChangedRound[reply.from()]) {
                changeView(reply.from(), other.incarnation());
            }
        } else if (reply.view() != view.hash() || reply.round() != round) {
            queryIfAllAnswered(nowMs);
            return drainEffects();
        } else if (reply.state() instanceof PeerState.OtherView) {
            queryAllPeers = true;
        } else {
            replies.put(reply.from(), reply.state());
            evaluate();
        }
        queryIfAllAnswered(nowMs);
        return drainEffects();
    }

    /**
     * Processes timers: resends queries that have not been answered.
     *
     * @param nowMs current time
     * @return the effects to execute
     */
    public List<RankEffect> tick(long nowMs) {
        if (querying() && nowMs >= nextQueryAtMs) {
            if (newRoundNeeded) {
                replies.clear();
                round++;
            }
            sendQueries(nowMs);
        }
        return drainEffects();
    }

    /**
     * Returns whether the rank has joined its group and no switch is pending, so that the engine may run.
     *
     * @return {@code true} if the rank has joined and has no unsettled switch
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

    private void abortPreparingWithLowerFence(PrepareMap request) {
        PrepareMap existing = pending;
        if (phase == RankPhase.PREPARING
                && existing != null
                && request.fence() > existing.fence()
                && !request.id().equals(existing.id())) {
            refusePending("a higher fencing token was seen");
        }
    }

    private Optional<String> refusalReason(PrepareMap request) {
        PrepareMap existing = pending;
        if (request.fence() < highestFence) {
            return Optional.of("a higher fencing token was seen");
        }
        if (request.incarnation() != view.incarnation(rank) || request.view() != view.hash()) {
            return Optional.of("the incarnations of the ranks have changed");
        }
        if (existing != null) {
            return existing.id().equals(request.id()) && existing.view() == request.view()
                    ? Optional.empty()
                    : Optional.of("another switch is pending");
        }
        if (phase != RankPhase.IDLE) {
            return Optional.of("the rank is joining");
        }
        if (committed != null && lastBegunStep < committed.step()) {
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
            checkIncarnations(nowMs);
            return new PeerState.OtherView();
        }
        SwitchId id = query.id();
        if (id == null) {
            SwitchId unresolved = pending != null && phase != RankPhase.PREPARING ? pending.id() : null;
            return new PeerState.Status(unresolved, committed, baseMap, closedStep, highestFence);
        }
        return voteFor(id, nowMs);
    }

    private PeerState voteFor(SwitchId id, long nowMs) {
        // An engine that outlived its agent may already be executing the step; its map is then the decision.
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

    /** Begins a new round, which is queried once the replies of the last one are in: they may change the view again. */
    private void changeView(int changedRank, long incarnation) {
        view.update(changedRank, incarnation);
        if (phase == RankPhase.PREPARING) {
            refusePending("the incarnations of the ranks have changed");
        }
        if (phase == RankPhase.PROMISED) {
            phase = RankPhase.SETTLING;
        }
        replies.clear();
        round += round == queriedRound ? 1 : 0;
        viewChangedRound[changedRank] = round;
    }

    private void queryIfAllAnswered(long nowMs) {
        if (round != queriedRound && unansweredPeers.isEmpty() && querying()) {
            sendQueries(nowMs);
        }
    }

    private void checkIncarnations(long nowMs) {
        if (querying()) {
            queryAllPeers = true;
        } else {
            checkingIncarnations = true;
            startRound(nowMs);
        }
    }

    private boolean querying() {
        return phase == RankPhase.JOINING || phase == RankPhase.SETTLING || checkingIncarnations;
    }

    private void startRound(long nowMs) {
        replies.clear();
        round++;
        sendQueries(nowMs);
    }

    private void sendQueries(long nowMs) {
        SwitchId id = phase == RankPhase.SETTLING && pending != null ? pending.id() : null;
        for (int peer = 0; peer < view.ranks(); peer++) {
            if (peer != rank && (queryAllPeers || !replies.containsKey(peer))) {
                unansweredPeers.set(peer);
                effects.add(new RankEffect.SendQuery(
                        peer, new PeerQuery(rank, view.hash(), view.incarnation(peer), round, id)));
            }
        }
        queryAllPeers = false;
        newRoundNeeded = false;
        queriedRound = round;
        nextQueryAtMs = nowMs + QUERY_INTERVAL_MS;
    }

    private void evaluate() {
        if (replies.size() < view.ranks() - 1) {
            return;
        }
        checkingIncarnations = false;
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
            newRoundNeeded = true;
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

    private List<RankEffect> drainEffects() {
        List<RankEffect> result = List.copyOf(effects);
        effects.clear();
        return result;
    }
}
