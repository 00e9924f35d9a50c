package org.kingcuproad.policy.mapswitch;

import java.util.ArrayList;
import java.util.BitSet;
import java.util.List;
import java.util.stream.IntStream;

/**
 * Coordinates one map switch: collects the promises of one view and tells the ranks that all promised. It decides
 * nothing: safety rests on the ranks, so any number of coordinators may be at work, paused or dead.
 */
public final class SwitchCoordinator {

    /** Time after which an unanswered message is sent again, in milliseconds. */
    public static final long RESEND_MS = 500;

    /** Steps before the switch at which missing promises abort it, so that a commit reaches the ranks in time. */
    public static final long MARGIN_STEPS = 20;

    /** Time for which the result is sent to ranks that do not acknowledge it, in milliseconds. */
    public static final long SETTLE_LIMIT_MS = 10_000;

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
     * Asks all ranks.
     *
     * @param prepareDeadlineMs time until which all promises must have arrived; it covers loading the weights
     * @param nowMs present time
     * @return what to carry out
     */
    public List<CoordinatorEffect> start(long prepareDeadlineMs, long nowMs) {
        deadlineMs = prepareDeadlineMs;
        send(nowMs);
        return take();
    }

    /**
     * Takes the answer of a rank.
     *
     * @param rank number of the rank
     * @param answered the switch that the answer is about
     * @param answeringIncarnation incarnation that answered
     * @param didPromise whether it promised
     * @param refusal why not
     * @param nowMs present time
     * @return what to carry out
     */
    public List<CoordinatorEffect> answer(
            int rank, SwitchId answered, long answeringIncarnation, boolean didPromise, String refusal, long nowMs) {
        if (phase != Phase.PREPARING || !answered.equals(id)) {
            return take();
        }
        if (!didPromise || answeringIncarnation != incarnations[rank]) {
            conclude(Phase.ABORTING, "rank " + rank + ": " + refusal, nowMs);
        } else {
            promised.set(rank);
            if (promised.cardinality() == incarnations.length) {
                conclude(Phase.COMMITTING, "", nowMs);
            }
        }
        return take();
    }

    /**
     * Notes how far the group is. A switch whose step comes near without all promises is aborted.
     *
     * @param currentStep last step that a rank reported
     * @param nowMs present time
     * @return what to carry out
     */
    public List<CoordinatorEffect> groupStep(long currentStep, long nowMs) {
        if (phase == Phase.PREPARING && currentStep >= id.step() - MARGIN_STEPS) {
            conclude(Phase.ABORTING, "the step came before all promises", nowMs);
        }
        return take();
    }

    /**
     * Gives up, for example because the lease was lost. A commit that was decided is not taken back.
     *
     * @param why the reason
     * @param nowMs present time
     * @return what to carry out
     */
    public List<CoordinatorEffect> giveUp(String why, long nowMs) {
        if (phase == Phase.PREPARING) {
            conclude(Phase.ABORTING, why, nowMs);
        }
        return take();
    }

    /**
     * Notes that a rank received the result.
     *
     * @param rank number of the rank
     * @return what to carry out
     */
    public List<CoordinatorEffect> settled(int rank) {
        if (phase == Phase.COMMITTING || phase == Phase.ABORTING) {
            acknowledged.set(rank);
            if (acknowledged.cardinality() == incarnations.length) {
                finish();
            }
        }
        return take();
    }

    /**
     * Lets time pass.
     *
     * @param nowMs present time
     * @return what to carry out
     */
    public List<CoordinatorEffect> tick(long nowMs) {
        if (phase == Phase.PREPARING && nowMs >= deadlineMs) {
            conclude(Phase.ABORTING, "not all ranks promised in time", nowMs);
        } else if (phase != Phase.PREPARING && phase != Phase.FINISHED && nowMs >= deadlineMs) {
            finish();
        } else if (phase != Phase.FINISHED && nowMs >= resendAtMs) {
            send(nowMs);
        }
        return take();
    }

    private void conclude(Phase result, String why, long nowMs) {
        phase = result;
        reason = why;
        deadlineMs = nowMs + SETTLE_LIMIT_MS;
        send(nowMs);
    }

    private void finish() {
        effects.add(new CoordinatorEffect.Finished(phase == Phase.COMMITTING, reason));
        phase = Phase.FINISHED;
    }

    private void send(long nowMs) {
        resendAtMs = nowMs + RESEND_MS;
        BitSet done = phase == Phase.PREPARING ? promised : acknowledged;
        IntStream.range(0, incarnations.length)
                .filter(rank -> !done.get(rank))
                .mapToObj(this::message)
                .forEach(effects::add);
    }

    private CoordinatorEffect message(int rank) {
        return phase == Phase.PREPARING
                ? new CoordinatorEffect.SendPrepare(rank, new PrepareMap(fence, id, view, incarnations[rank]))
                : new CoordinatorEffect.SendSettle(
                        rank, new SettleMap(id, view, incarnations[rank], phase == Phase.COMMITTING));
    }

    private List<CoordinatorEffect> take() {
        List<CoordinatorEffect> result = List.copyOf(effects);
        effects.clear();
        return result;
    }
}
