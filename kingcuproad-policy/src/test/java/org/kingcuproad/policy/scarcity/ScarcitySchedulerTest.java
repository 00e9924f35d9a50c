package org.kingcuproad.policy.scarcity;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.Random;
import java.util.stream.IntStream;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.kingcuproad.policy.gateway.RequestQueue;
import org.kingcuproad.policy.gateway.SchedulingAttributes;
import org.kingcuproad.policy.gateway.ServiceStatistics;

/** Guards against urgent requests that are refused because less urgent ones wait, and against kinds that starve. */
class ScarcitySchedulerTest {

    private static final long NOW_MS = 10_000;
    private static final long START_WITHIN_MS = 1_300;

    private final ScarcityScheduler<ScarceRequest> scheduler = new ScarcityScheduler<>(request -> request);
    private final RequestQueue<ScarceRequest> queue = new RequestQueue<>(ScarceRequest::scheduling);
    private final ServiceStatistics statistics = new ServiceStatistics();

    private static ScarceRequest request(int priority, long goalMs) {
        return new ScarceRequest(
                new SchedulingAttributes(NOW_MS, NOW_MS + goalMs, NOW_MS + START_WITHIN_MS, priority),
                new RequestTraits("kind" + priority, "office", 100, false),
                true);
    }

    private List<ScarceRequest> overdue() {
        return scheduler.overdue(queue, statistics, OptionalDouble.empty(), NOW_MS).stream()
                .map(ScarcityScheduler.Refusal::request)
                .toList();
    }

    /** A slot becomes free every 100 ms, so that 13 requests can start within 1.3 s. */
    @BeforeEach
    void releaseSlots() {
        queue.setOrder(Optional.of(scheduler::startOrder));
        IntStream.range(0, 100).forEach(index -> statistics.onSlotReleased(NOW_MS - 10_000 + index * 100));
    }

    /** Guards against an expected wait that counts requests which start later. */
    @Test
    void refusesLessUrgentRequestsInPlaceOfAnUrgentOneThatArrives() {
        IntStream.range(0, 13).forEach(index -> queue.add(request(2, 800 + index)));
        assertThat(overdue()).isEmpty();

        queue.add(request(0, 400));

        assertThat(overdue()).containsExactly(request(2, 812));
    }

    @Test
    void keepsRequestsThatMayHaveRun() {
        IntStream.range(0, 13).forEach(index -> queue.add(request(0, 400)));
        ScarceRequest sent = request(2, 800);
        queue.add(new ScarceRequest(sent.scheduling(), sent.traits(), false));

        assertThat(overdue()).isEmpty();
    }

    /** Guards against requests that wait in vain, because more urgent ones keep arriving before them. */
    @Test
    void countsUrgentRequestsThatAreYetToArrive() {
        IntStream.range(0, 8).forEach(index -> queue.add(request(2, 800 + index)));
        assertThat(overdue()).isEmpty();

        IntStream.range(0, 100).forEach(index -> scheduler.onArrival("kind0", 100, 0, NOW_MS - 10_000 + index * 100));
        assertThat(overdue()).isNotEmpty();
    }

    @Test
    void servesAKindFirstThatIsServedLessThanCallersRequire() {
        ScarceRequest urgent = request(0, 400);
        ScarceRequest patient = request(2, 800);
        queue.add(urgent);
        queue.add(patient);
        IntStream.range(0, 40).forEach(index -> {
            scheduler.onDecided(urgent.traits(), true, NOW_MS);
            scheduler.onDecided(patient.traits(), index % 4 == 0, NOW_MS);
        });
        assertThat(queue.ordered(0, NOW_MS)).containsExactly(urgent, patient);

        IntStream.range(0, 80).forEach(index -> scheduler.onDecided(patient.traits(), false, NOW_MS));

        assertThat(queue.ordered(0, NOW_MS)).containsExactly(patient, urgent);
    }

    /** Guards against a changed order where all priorities are the same: these are the rules from before. */
    @Test
    void keepsTheFormerOrderWithoutAnOrderOfItsOwn() {
        Random random = new Random(5);
        queue.setOrder(Optional.empty());
        List<ScarceRequest> requests = random.ints(200, -300, 900)
                .mapToObj(goalMs -> request(1, goalMs))
                .toList();
        requests.forEach(queue::add);
        double timeToFirstResponseMs = 200;

        List<ScarceRequest> onTimeFirst = requests.stream()
                .sorted(java.util.Comparator.<ScarceRequest, Boolean>comparing(
                                request -> request.scheduling().goalDeadlineMs() < NOW_MS + timeToFirstResponseMs)
                        .thenComparing(request -> request.scheduling().goalDeadlineMs()))
                .toList();

        assertThat(IntStream.range(0, 200)
                        .mapToObj(index ->
                                queue.poll(timeToFirstResponseMs, NOW_MS).orElseThrow()))
                .isEqualTo(onTimeFirst);
    }
}
