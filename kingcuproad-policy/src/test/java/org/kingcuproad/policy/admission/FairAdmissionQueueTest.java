package org.kingcuproad.policy.admission;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.stream.IntStream;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.Test;
import org.kingcuproad.model.ErrorKind;

/** Tests fairness among workspaces, early refusal and queue limits. */
class FairAdmissionQueueTest {

    private static final double NO_LIMIT_MS = 1e9;

    /**
     * A backlogged workspace must not receive more service than its weight allows while others are queued. The bound is
     * the fairness bound of start-time fair queueing from the literature.
     */
    @Property(seed = "3", tries = 200)
    void backloggedWorkspacesAreServedInProportionToWeight(
            @ForAll @Size(min = 2, max = 8) List<@IntRange(min = 1, max = 9) Integer> weights,
            @ForAll @Size(min = 5, max = 5) List<@IntRange(min = 1, max = 20) Integer> costs) {
        FairAdmissionQueue<Integer> queue = queue(weights, 200);
        for (int request = 0; request < 100; request++) {
            for (int workspace = 0; workspace < weights.size(); workspace++) {
                offer(queue, workspace, costs.get((request + workspace) % costs.size()), NO_LIMIT_MS, 0);
            }
        }
        double maxCost = costs.stream().mapToInt(Integer::intValue).max().orElseThrow();
        double[] served = new double[weights.size()];
        for (int dispatch = 0; dispatch < 50; dispatch++) {
            QueuedRequest<Integer> queuedRequest = ready(queue, 0);
            int workspace = Integer.parseInt(queuedRequest.workspace());
            served[workspace] += queuedRequest.cost() / weights.get(workspace);
            queue.onDispatched(queuedRequest, 0);
            for (int one = 0; one < served.length; one++) {
                for (int other = 0; other < served.length; other++) {
                    double bound = maxCost / weights.get(one) + maxCost / weights.get(other);
                    assertThat(served[one] - served[other]).isLessThanOrEqualTo(bound + 1e-6);
                }
            }
        }
    }

    /** A caller must not wait for a response that cannot arrive in time. */
    @Test
    void requestThatCannotMeetItsLimitIsRefusedImmediately() {
        FairAdmissionQueue<Integer> queue = queue(List.of(1), 1_000);
        for (int request = 0; request < 20; request++) {
            offer(queue, 0, 1, NO_LIMIT_MS, request * 100L);
            queue.onDispatched(ready(queue, request * 100L), request * 100L);
        }
        // Ten requests per second depart, so a queue of 30 takes three seconds to drain.
        for (int request = 0; request < 30; request++) {
            offer(queue, 0, 1, NO_LIMIT_MS, 2_000);
        }
        assertThat(offer(queue, 0, 1, 1_700, 2_000))
                .isInstanceOfSatisfying(
                        AdmissionDecision.Refused.class,
                        refused -> assertThat(refused.kind()).isEqualTo(ErrorKind.OVERLOADED));
        assertThat(offer(queue, 0, 1, 6_000, 2_000)).isInstanceOf(AdmissionDecision.Queued.class);
    }

    /** A request whose limit passed while it was queued must not be dispatched. */
    @Test
    void expiredRequestIsRemovedFromTheQueue() {
        FairAdmissionQueue<Integer> queue = queue(List.of(1), 10);
        offer(queue, 0, 1, 500, 0);
        assertThat(queue.poll(500)).isInstanceOf(PollResult.Ready.class);
        assertThat(queue.poll(501)).isInstanceOf(PollResult.Expired.class);
        assertThat(queue.poll(501)).isInstanceOf(PollResult.Empty.class);
        assertThat(queue.queued()).isZero();
    }

    /** Queues must be bounded, both per workspace and in total. */
    @Test
    void queueLengthsAreBounded() {
        FairAdmissionQueue<Integer> queue = new FairAdmissionQueue<>(30);
        queue.update(List.of(
                new WorkspaceShare("0", 1, 1, 20),
                new WorkspaceShare("1", 1, 1, 1_000),
                new WorkspaceShare("2", 1, 1, 9)));
        assertThat(refusalAfter(queue, 0, 20)).isEqualTo(ErrorKind.WORKSPACE_LIMIT);
        assertThat(refusalAfter(queue, 1, 15)).isEqualTo(ErrorKind.OVERLOADED);
        assertThat(offer(queue, 2, 1, NO_LIMIT_MS, 0)).isInstanceOf(AdmissionDecision.Queued.class);
    }

    /** A noisy workspace must not occupy the capacity that the others need, but must not be starved either. */
    @Test
    void workspaceFarOverItsShareIsThrottledUnderContention() {
        FairAdmissionQueue<Integer> queue = queue(List.of(1, 1, 1, 1, 1), 1_000);
        for (int request = 0; request < 100; request++) {
            offer(queue, 0, 1, NO_LIMIT_MS, 0);
        }
        for (int workspace = 1; workspace < 5; workspace++) {
            offer(queue, workspace, 1, NO_LIMIT_MS, 0);
        }
        int noisyDispatches = 0;
        PollResult<Integer> head = queue.poll(0, 1);
        while (head instanceof PollResult.Ready<Integer> ready) {
            noisyDispatches += ready.queuedRequest().workspace().equals("0") ? 1 : 0;
            queue.onDispatched(ready.queuedRequest(), 0);
            head = queue.poll(0, 1);
        }
        assertThat(noisyDispatches).isBetween(1, 2);
        assertThat(queue.queued()).isEqualTo(100 - noisyDispatches);
        assertThat(queue.poll(0, 0.3)).isInstanceOf(PollResult.Ready.class);
    }

    /** A workspace must not have more requests in flight than the environment document allows. */
    @Test
    void inFlightLimitDelaysDispatch() {
        FairAdmissionQueue<Integer> queue = new FairAdmissionQueue<>(100);
        queue.update(List.of(new WorkspaceShare("0", 1, 1, 100)));
        offer(queue, 0, 1, NO_LIMIT_MS, 0);
        offer(queue, 0, 1, NO_LIMIT_MS, 0);
        queue.onDispatched(ready(queue, 0), 0);
        assertThat(queue.poll(0)).isInstanceOf(PollResult.Empty.class);
        queue.onFinished("0");
        assertThat(queue.poll(0)).isInstanceOf(PollResult.Ready.class);
    }

    private static FairAdmissionQueue<Integer> queue(List<Integer> weights, int maxQueued) {
        FairAdmissionQueue<Integer> queue = new FairAdmissionQueue<>(1_000_000);
        queue.update(IntStream.range(0, weights.size())
                .mapToObj(index ->
                        new WorkspaceShare(Integer.toString(index), weights.get(index), Integer.MAX_VALUE, maxQueued))
                .toList());
        return queue;
    }

    private static AdmissionDecision<Integer> offer(
            FairAdmissionQueue<Integer> queue, int workspace, double cost, double limitMs, long nowMs) {
        return queue.offer(workspace, new AdmissionRequest(Integer.toString(workspace), cost, limitMs, 0), nowMs);
    }

    private static QueuedRequest<Integer> ready(FairAdmissionQueue<Integer> queue, long nowMs) {
        return switch (queue.poll(nowMs)) {
            case PollResult.Ready<Integer> ready -> ready.queuedRequest();
            case PollResult<Integer> other -> throw new AssertionError("nothing is ready: " + other);
        };
    }

    private static ErrorKind refusalAfter(FairAdmissionQueue<Integer> queue, int workspace, int accepted) {
        for (int request = 0; request < accepted; request++) {
            assertThat(offer(queue, workspace, 1, NO_LIMIT_MS, 0)).isInstanceOf(AdmissionDecision.Queued.class);
        }
        return offer(queue, workspace, 1, NO_LIMIT_MS, 0) instanceof AdmissionDecision.Refused<Integer> refused
                ? refused.kind()
                : ErrorKind.INTERNAL;
    }
}
