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

/** Guards fairness among workspaces and early refusal. */
class FairAdmissionTest {

    private static final double NO_LIMIT_MS = 1e9;

    /**
     * Guards against a workspace that gets more than its weight while others wait; the bound is that of the literature.
     */
    @Property(seed = "3", tries = 200)
    void backloggedWorkspacesAreServedByWeight(
            @ForAll @Size(min = 2, max = 8) List<@IntRange(min = 1, max = 9) Integer> weights,
            @ForAll @Size(min = 5, max = 5) List<@IntRange(min = 1, max = 20) Integer> costs) {
        FairAdmission<Integer> admission = admission(weights, 200);
        for (int request = 0; request < 100; request++) {
            for (int workspace = 0; workspace < weights.size(); workspace++) {
                offer(admission, workspace, costs.get((request + workspace) % costs.size()), NO_LIMIT_MS, 0);
            }
        }
        double maxCost = costs.stream().mapToInt(Integer::intValue).max().orElseThrow();
        double[] served = new double[weights.size()];
        for (int turn = 0; turn < 50; turn++) {
            Ticket<Integer> ticket = ready(admission, 0);
            int workspace = Integer.parseInt(ticket.workspace());
            served[workspace] += ticket.cost() / weights.get(workspace);
            admission.dispatched(ticket, 0);
            for (int one = 0; one < served.length; one++) {
                for (int other = 0; other < served.length; other++) {
                    double bound = maxCost / weights.get(one) + maxCost / weights.get(other);
                    assertThat(served[one] - served[other]).isLessThanOrEqualTo(bound + 1e-6);
                }
            }
        }
    }

    /** Guards against a caller that waits for an answer which cannot arrive in time. */
    @Test
    void requestThatCannotBeInTimeIsRefusedAtOnce() {
        FairAdmission<Integer> admission = admission(List.of(1), 1_000);
        for (int request = 0; request < 20; request++) {
            offer(admission, 0, 1, NO_LIMIT_MS, request * 100L);
            admission.dispatched(ready(admission, request * 100L), request * 100L);
        }
        // Ten requests a second leave, so a queue of 30 takes three seconds.
        for (int request = 0; request < 30; request++) {
            offer(admission, 0, 1, NO_LIMIT_MS, 2_000);
        }
        assertThat(offer(admission, 0, 1, 1_700, 2_000))
                .isInstanceOfSatisfying(
                        AdmissionDecision.Refused.class,
                        refused -> assertThat(refused.kind()).isEqualTo(ErrorKind.OVERLOADED));
        assertThat(offer(admission, 0, 1, 6_000, 2_000)).isInstanceOf(AdmissionDecision.Queued.class);
    }

    /** Guards against dispatching a request whose limit passed while it waited. */
    @Test
    void lateRequestLeavesTheQueue() {
        FairAdmission<Integer> admission = admission(List.of(1), 10);
        offer(admission, 0, 1, 500, 0);
        assertThat(admission.poll(500)).isInstanceOf(QueueHead.Ready.class);
        assertThat(admission.poll(501)).isInstanceOf(QueueHead.Late.class);
        assertThat(admission.poll(501)).isInstanceOf(QueueHead.Empty.class);
        assertThat(admission.queued()).isZero();
    }

    /** Guards against unbounded queues. */
    @Test
    void queuesAreBounded() {
        FairAdmission<Integer> admission = new FairAdmission<>(30);
        admission.update(List.of(
                new WorkspaceShare("0", 1, 1, 20),
                new WorkspaceShare("1", 1, 1, 1_000),
                new WorkspaceShare("2", 1, 1, 9)));
        assertThat(refusalAfter(admission, 0, 20)).isEqualTo(ErrorKind.WORKSPACE_LIMIT);
        assertThat(refusalAfter(admission, 1, 15)).isEqualTo(ErrorKind.OVERLOADED);
        assertThat(offer(admission, 2, 1, NO_LIMIT_MS, 0)).isInstanceOf(AdmissionDecision.Queued.class);
    }

    /** Guards against a noisy workspace that takes the places which the others need, and against starving it. */
    @Test
    void workspaceFarOverItsShareIsHeldBackInACrowd() {
        FairAdmission<Integer> admission = admission(List.of(1, 1, 1, 1, 1), 1_000);
        for (int request = 0; request < 100; request++) {
            offer(admission, 0, 1, NO_LIMIT_MS, 0);
        }
        for (int workspace = 1; workspace < 5; workspace++) {
            offer(admission, workspace, 1, NO_LIMIT_MS, 0);
        }
        int noisy = 0;
        QueueHead<Integer> head = admission.poll(0, 1);
        while (head instanceof QueueHead.Ready<Integer> ready) {
            noisy += ready.ticket().workspace().equals("0") ? 1 : 0;
            admission.dispatched(ready.ticket(), 0);
            head = admission.poll(0, 1);
        }
        assertThat(noisy).isBetween(1, 2);
        assertThat(admission.queued()).isEqualTo(100 - noisy);
        assertThat(admission.poll(0, 0.3)).isInstanceOf(QueueHead.Ready.class);
    }

    /** Guards against more requests in flight than the document allows a workspace. */
    @Test
    void inFlightLimitHoldsRequestsBack() {
        FairAdmission<Integer> admission = new FairAdmission<>(100);
        admission.update(List.of(new WorkspaceShare("0", 1, 1, 100)));
        offer(admission, 0, 1, NO_LIMIT_MS, 0);
        offer(admission, 0, 1, NO_LIMIT_MS, 0);
        admission.dispatched(ready(admission, 0), 0);
        assertThat(admission.poll(0)).isInstanceOf(QueueHead.Empty.class);
        admission.finished("0");
        assertThat(admission.poll(0)).isInstanceOf(QueueHead.Ready.class);
    }

    private static FairAdmission<Integer> admission(List<Integer> weights, int maxQueued) {
        FairAdmission<Integer> admission = new FairAdmission<>(1_000_000);
        admission.update(IntStream.range(0, weights.size())
                .mapToObj(index ->
                        new WorkspaceShare(Integer.toString(index), weights.get(index), Integer.MAX_VALUE, maxQueued))
                .toList());
        return admission;
    }

    private static AdmissionDecision<Integer> offer(
            FairAdmission<Integer> admission, int workspace, double cost, double limitMs, long nowMs) {
        return admission.offer(workspace, new AdmissionRequest(Integer.toString(workspace), cost, limitMs, 0), nowMs);
    }

    private static Ticket<Integer> ready(FairAdmission<Integer> admission, long nowMs) {
        return switch (admission.poll(nowMs)) {
            case QueueHead.Ready<Integer> ready -> ready.ticket();
            case QueueHead<Integer> other -> throw new AssertionError("nothing is ready: " + other);
        };
    }

    private static ErrorKind refusalAfter(FairAdmission<Integer> admission, int workspace, int accepted) {
        for (int request = 0; request < accepted; request++) {
            assertThat(offer(admission, workspace, 1, NO_LIMIT_MS, 0)).isInstanceOf(AdmissionDecision.Queued.class);
        }
        return offer(admission, workspace, 1, NO_LIMIT_MS, 0) instanceof AdmissionDecision.Refused<Integer> refused
                ? refused.kind()
                : ErrorKind.INTERNAL;
    }
}
