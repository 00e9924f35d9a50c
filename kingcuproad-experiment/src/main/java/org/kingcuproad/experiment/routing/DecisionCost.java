package org.kingcuproad.experiment.routing;

import java.io.PrintStream;
import java.lang.management.ManagementFactory;
import java.lang.ref.Reference;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Locale;
import java.util.function.IntFunction;
import java.util.stream.IntStream;
import org.kingcuproad.policy.admission.AdmissionRequest;
import org.kingcuproad.policy.admission.FairAdmissionQueue;
import org.kingcuproad.policy.admission.PollResult;
import org.kingcuproad.policy.admission.WorkspaceShare;
import org.kingcuproad.policy.routing.LoadReport;
import org.kingcuproad.policy.routing.Outcome;
import org.kingcuproad.policy.routing.RequestFeatures;
import org.kingcuproad.policy.routing.RoutedUpstream;
import org.kingcuproad.policy.routing.RouterSettings;
import org.kingcuproad.policy.routing.RoutingDecision;
import org.kingcuproad.policy.routing.UpstreamRouter;

/** Measures processor time for each decision, and memory for each known upstream and workspace. */
public final class DecisionCost {

    private static final List<Integer> UPSTREAMS = List.of(12, 100, 1_000, 7_700);
    private static final List<Integer> WORKSPACES = List.of(10, 100, 1_000, 7_500);
    private static final int DECISIONS = 200_000;
    private static final int ROUNDS = 5;
    /** The serial collector leaves some dead objects in place except in every fourth full collection. */
    private static final int FULL_CYCLES = 4;

    private static final int MIN_MEMBERS = 2_000;
    private static final int MAX_COPIES = 50;
    private static final int PROMPTS = 4_096;
    private static final int OUTSTANDING = 64;
    private static final int QUEUED = 256;
    private static final long DECISIONS_PER_MS = 4;

    private final long seed;

    /**
     * Creates a measurement.
     *
     * @param seed seed of the requests
     */
    public DecisionCost(long seed) {
        this.seed = seed;
    }

    /**
     * Measures all sizes and prints a table and the slopes.
     *
     * @param out where the table goes
     */
    public void run(PrintStream out) {
        out.println("decision,size,ns_per_decision,bytes_per_member");
        measure("route", UPSTREAMS, this::router, this::routeAll, out);
        measure("admit", WORKSPACES, this::admission, this::admitAll, out);
    }

    private <T> void measure(
            String name, List<Integer> sizes, IntFunction<T> create, Decisions<T> decisions, PrintStream out) {
        List<Double> nanos = new ArrayList<>();
        for (int size : sizes) {
            double bytes = bytesPerMember(create, size);
            T subject = create.apply(size);
            double best = Double.MAX_VALUE;
            for (int round = 0; round < ROUNDS; round++) {
                best = Math.min(best, decisions.nanosPerDecision(subject, size));
            }
            nanos.add(best);
            out.printf(Locale.ROOT, "%s,%d,%.0f,%.0f%n", name, size, best, bytes);
        }
        double doublings = Math.log((double) sizes.getLast() / sizes.getFirst()) / Math.log(2);
        double growth = nanos.getLast() - nanos.getFirst();
        out.printf(
                Locale.ROOT,
                "slope %s: %.1f ns for each doubling, factor %.2f over a size factor of %.0f%n",
                name,
                growth / doublings,
                nanos.getLast() / nanos.getFirst(),
                (double) sizes.getLast() / sizes.getFirst());
    }

    /** Compares copies with many members and copies with one, which have the same fixed tables. */
    private static <T> double bytesPerMember(IntFunction<T> create, int size) {
        int copies = Math.max(1, Math.min(MAX_COPIES, MIN_MEMBERS / size));
        heldBytes(create, 1, 1);
        return (double) (heldBytes(create, size + 1, copies) - heldBytes(create, 1, copies)) / size / copies;
    }

    private static <T> long heldBytes(IntFunction<T> create, int size, int copies) {
        long before = usedBytes();
        List<T> held =
                IntStream.range(0, copies).mapToObj(copy -> create.apply(size)).toList();
        long bytes = usedBytes() - before;
        // The copies must stay reachable until after the measurement.
        Reference.reachabilityFence(held);
        return bytes;
    }

    private static long usedBytes() {
        for (int cycle = 0; cycle < FULL_CYCLES; cycle++) {
            System.gc();
        }
        return Runtime.getRuntime().totalMemory() - Runtime.getRuntime().freeMemory();
    }

    private UpstreamRouter router(int size) {
        UpstreamRouter router = UpstreamRouter.create(RouterSettings.defaults(), "data-centre-0", seed);
        router.update(
                IntStream.range(0, size)
                        .mapToObj(index -> new RoutedUpstream(
                                "upstream-" + index, "data-centre-" + index % 3, Simulation.GROUP, 16))
                        .toList(),
                0);
        return router;
    }

    private double routeAll(UpstreamRouter router, int size) {
        List<RequestFeatures> requests = requests();
        Deque<Sent> sent = new ArrayDeque<>();
        LoadReport report = new LoadReport(1, Long.MAX_VALUE, 6, 0, 0, false, 1_000, List.of());
        router.onReport("upstream-" + size / 2, report, 0);
        long start = processorNanos();
        for (int decision = 0; decision < DECISIONS; decision++) {
            long nowMs = decision / DECISIONS_PER_MS;
            RequestFeatures request = requests.get(decision % PROMPTS);
            if (router.choose(request, nowMs) instanceof RoutingDecision.Chosen chosen) {
                router.onDispatched(chosen.upstream(), request.prefix(), nowMs);
                router.onFirstToken(chosen.upstream(), 100, nowMs);
                sent.addLast(new Sent(chosen.upstream()));
            }
            if (sent.size() > OUTSTANDING) {
                router.onFinished(sent.removeFirst().upstream(), Outcome.SUCCEEDED, 100, nowMs);
            }
        }
        long nanos = processorNanos() - start;
        sent.forEach(last -> router.onFinished(last.upstream(), Outcome.SUCCEEDED, 100, DECISIONS / DECISIONS_PER_MS));
        return (double) nanos / DECISIONS;
    }

    private List<RequestFeatures> requests() {
        Workload workload = new Workload(seed, 1);
        return IntStream.range(0, PROMPTS)
                .mapToObj(index -> RequestFeatures.firstAttempt(
                        Simulation.GROUP, workload.next().prefix(), "workspace"))
                .toList();
    }

    private FairAdmissionQueue<Integer> admission(int size) {
        FairAdmissionQueue<Integer> admission = new FairAdmissionQueue<>(2 * QUEUED);
        admission.update(IntStream.range(0, size)
                .mapToObj(index -> new WorkspaceShare(workspace(index), 1, Integer.MAX_VALUE, 2 * QUEUED))
                .toList());
        return admission;
    }

    private static String workspace(int index) {
        return "workspace-" + index;
    }

    private double admitAll(FairAdmissionQueue<Integer> admission, int size) {
        List<AdmissionRequest> requests = IntStream.range(0, size)
                .mapToObj(index -> new AdmissionRequest(workspace(index), 1, 1e9, 0))
                .toList();
        long start = processorNanos();
        for (int decision = 0; decision < DECISIONS; decision++) {
            long nowMs = decision / DECISIONS_PER_MS;
            admission.offer(decision, requests.get(decision % size), nowMs);
            if (admission.queued() > QUEUED && admission.poll(nowMs, 1) instanceof PollResult.Ready<Integer> ready) {
                admission.onDispatched(ready.queuedRequest(), nowMs);
                admission.onFinished(ready.queuedRequest().workspace());
            }
        }
        return (double) (processorNanos() - start) / DECISIONS;
    }

    private static long processorNanos() {
        return ManagementFactory.getThreadMXBean().getCurrentThreadCpuTime();
    }

    /** Makes many decisions and returns the mean processor time. */
    private interface Decisions<T> {

        /** Runs the decisions on a subject with this many members. */
        double nanosPerDecision(T subject, int size);
    }

    /**
     * A request on an upstream.
     *
     * @param upstream name of the upstream
     */
    private record Sent(String upstream) {}
}
