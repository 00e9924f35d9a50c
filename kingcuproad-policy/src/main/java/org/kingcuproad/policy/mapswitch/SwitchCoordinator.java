package org.kingcuproad.policy.mapswitch;

import java.util.ArrayList;
import java.util.BitSet;
import java.util.List;
import java.util.stream.IntStream;

/**
 * Coordinates one map switch: collects the promises of the ranks of one view and notifies the ranks once all have
 * promised. Safety depends on the ranks only, so any number of coordinators may be active, paused or stopped at the
 * same time.
 */
public final class SwitchCoordinator {

    /** Interval at which unanswered messages are sent again, in milliseconds. */
    public static final long RESEND_INTERVAL_MS = 500;

    /**
     * Number of steps before the switch step at which the switch is aborted if promises are missing. The margin lets a
     * commit reach the ranks in time.
     */
    public static final long ABORT_MARGIN_STEPS = 20;

    /** Time for which the result is resent to ranks that have not acknowledged it, in milliseconds. */
    public static final long SETTLE_TIMEOUT_MS = 10_000;

    private enum Phase {
        PREPARING,
        COMMITTING,
        ABORTING,
        FINISHED
    }

    private final long fence;
    private final SwitchId id;
    private final long[] incarnations;
    private final long view;
    private final BitSet promised = new BitSet();
    private final BitSet acknowledged = new BitSet();
    private final List<CoordinatorEffect> effects = new ArrayList<>();
    private Phase phase = Phase.PREPARING;
    private long deadlineMs;
    private long resendAtMs;
    private String reason = "";

    /**
     * Creates the coordinator of a switch.
     *
     * @param fence fencing token from the lease
     * @param id the switch
     * @param incarnations incarnation of each rank, from the reports of the agents
     */
    public SwitchCoordinator(long fence, SwitchId id, long[] incarnations) {
        this.fence = fence;
        this.id = id;
        this.incarnations = incarnations.clone();
        this.view = GroupView.hash(incarnations);
    }

    /**
     * Sends the prepare request to all ranks.
     *
     * @param prepareDeadlineMs deadline for the promises of all ranks; it includes the time to load the weights
     * @param nowMs current time
     * @return the effects to execute
     */
    public List<CoordinatorEffect> start(long prepareDeadlineMs, long nowMs) {
        deadlineMs = prepareDeadlineMs;
        send(nowMs);
        return drainEffects();
    }

    /**
     * Handles the answer of a rank to the prepare request.
     *
     * @param rank number of the rank
     * @param answeredId the switch that the answer refers to
     * @param answeringIncarnation incarnation of the rank that answered
     * @param promiseGiven whether the rank promised
     * @param refusal reason for the refusal, if the rank did not promise
     * @param nowMs current time
     * @return the effects to execute
     */
    public List<CoordinatorEffect> onPrepareAnswer(
            int rank,
            SwitchId answeredId,
            long answeringIncarnation,
            boolean promiseGiven,
            String refusal,
            long nowMs) {
        if (phase != Phase.PREPARING || !answeredId.equals(id)) {
            return drainEffects();
        }
        if (!promiseGiven || answeringIncarnation != incarnations[rank]) {
            conclude(Phase.ABORTING, "rank " + rank + ": " + refusal, nowMs);
        } else {
            promised.set(rank);
            if (promised.cardinality() == incarnations.length) {
                conclude(Phase.COMMITTING, "", nowMs);
            }
        }
        return drainEffects();
    }

    /**
     * Updates the progress of the group. The switch is aborted if its step is closer than {@link #ABORT_MARGIN_STEPS}
     * and promises are missing.
     *
     * @param currentStep last step that a rank reported
     * @param nowMs current time
     * @return the effects to execute
     */
    public List<CoordinatorEffect> onGroupStep(long currentStep, long nowMs) {
        if (phase == Phase.PREPARING && currentStep >= id.step() - ABORT_MARGIN_STEPS) {
            conclude(Phase.ABORTING, "the switch step was too close before all ranks had promised", nowMs);
        }
        return drainEffects();
    }

    /**
     * Aborts the switch unless it has been decided, for example because the lease was lost. A commit is never revoked.
     *
     * @param why the reason
     * @param nowMs current time
     * @return the effects to execute
     */
    public List<CoordinatorEffect> abort(String why, long nowMs) {
        if (phase == Phase.PREPARING) {
            conclude(Phase.ABORTING, why, nowMs);
        }
        return drainEffects();
    }

    /**
     * Records that a rank acknowledged the result.
     *
     * @param rank number of the rank
     * @return the effects to execute
     */
    public List<CoordinatorEffect> onSettleAcknowledged(int rank) {
        if (phase == Phase.COMMITTING || phase == Phase.ABORTING) {
            acknowledged.set(rank);
            if (acknowledged.cardinality() == incarnations.length) {
                finish();
            }
        }
        return drainEffects();
    }

    /**
     * Processes the timers that are due.
     *
     * @param nowMs current time
     * @return the effects to execute
     */
    public List<CoordinatorEffect> tick(long nowMs) {
        if (phase == Phase.PREPARING && nowMs >= deadlineMs) {
            conclude(Phase.ABORTING, "not all ranks promised before the prepare deadline", nowMs);
        } else if (phase != Phase.PREPARING && phase != Phase.FINISHED && nowMs >= deadlineMs) {
            finish();
        } else if (phase != Phase.FINISHED && nowMs >= resendAtMs) {
            send(nowMs);
        }
        return drainEffects();
    }

    private void conclude(Phase result, String why, long nowMs) {
        phase = result;
        reason = why;
        deadlineMs = nowMs + SETTLE_TIMEOUT_MS;
        send(nowMs);
    }

    private void finish() {
        effects.add(new CoordinatorEffect.Finished(phase == Phase.COMMITTING, reason));
        phase = Phase.FINISHED;
    }

    private void send(long nowMs) {
        resendAtMs = nowMs + RESEND_INTERVAL_MS;
        BitSet answeredRanks = phase == Phase.PREPARING ? promised : acknowledged;
        IntStream.range(0, incarnations.length)
                .filter(rank -> !answeredRanks.get(rank))
                .mapToObj(this::message)
                .forEach(effects::add);
    }

    private CoordinatorEffect message(int rank) {
        return phase == Phase.PREPARING
                ? new CoordinatorEffect.SendPrepare(rank, new PrepareMap(fence, id, view, incarnations[rank]))
                : new CoordinatorEffect.SendSettle(
                        rank, new SettleMap(id, view, incarnations[rank], phase == Phase.COMMITTING));
    }

    private List<CoordinatorEffect> drainEffects() {
        List<CoordinatorEffect> result = List.copyOf(effects);
        effects.clear();
        return result;
    }
}
