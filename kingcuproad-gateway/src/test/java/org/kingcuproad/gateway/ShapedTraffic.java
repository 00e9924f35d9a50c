package org.kingcuproad.gateway;

import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/** Drives a gateway from both sides with messages of all sizes and shapes, which follow from a seed, and drains it. */
final class ShapedTraffic implements AutoCloseable {

    private static final int UPSTREAMS = 3;
    private static final int CLIENTS = 6;
    private static final int REQUESTS_BEFORE_DRAIN = 220;
    private static final int MAX_REQUESTS = 700;
    private static final long TIMEOUT_MS = 1_500;
    private static final long DRAIN_GRACE_MS = 3_600;

    /** Time for which a client waits after a refusal. */
    private static final long REFUSED_PAUSE_MS = 100;

    /** Time in which runs end that nobody waits for any more. */
    private static final long QUIET_MS = 300;

    private final long seed;
    private final GatewayFixture fixture = new GatewayFixture();

    /** A gateway without other traffic, which shows how long the machine lets requests wait. */
    private final GatewayFixture undisturbed = new GatewayFixture();

    private final ShapedRuns runs = new ShapedRuns();
    private final List<ShapedUpstream> upstreams = new ArrayList<>();
    private final AtomicInteger instances = new AtomicInteger(UPSTREAMS);
    private final AtomicInteger numbers = new AtomicInteger();
    private final Map<Integer, ShapedAnswer> answers = new ConcurrentHashMap<>();
    private volatile boolean draining;
    private volatile boolean ended;

    ShapedTraffic(long seed) throws IOException {
        this.seed = seed;
    }

    /** Plays the seed and judges all answers. */
    ShapedReport play() throws Exception {
        fixture.setTimeoutMs(TIMEOUT_MS);
        fixture.setOrderAttempts(2);
        fixture.setMaxBodyBytes(ShapedDraws.MAX_BODY_BYTES);
        fixture.setDrainGraceMs(DRAIN_GRACE_MS);
        for (int index = 0; index < UPSTREAMS; index++) {
            fixture.addEntry("127.0.0.1", startUpstream("u" + index).port());
        }
        FakeUpstream steady = new FakeUpstream(request -> GatewayFixture.ok(request, "steady"));
        fixture.addSteadyEntry(steady.port());
        Gateway gateway = fixture.start();
        SteadyClient steadyClient = new SteadyClient(fixture.address());
        undisturbed.addSteadyEntry(steady.port());
        undisturbed.start();
        SteadyClient undisturbedClient = new SteadyClient(undisturbed.address());
        ExecutorService clients = Executors.newFixedThreadPool(CLIENTS);
        try {
            List<Future<?>> clientEnds = new ArrayList<>();
            for (int client = 0; client < CLIENTS; client++) {
                clientEnds.add(clients.submit(this::requestUntilEnd));
            }
            while (numbers.get() < REQUESTS_BEFORE_DRAIN && clientEnds.stream().noneMatch(Future::isDone)) {
                Thread.sleep(10);
            }
            steadyClient.stop();
            undisturbedClient.stop();
            draining = true;
            gateway.drain();
            gateway.stopped().get(2 * DRAIN_GRACE_MS, TimeUnit.MILLISECONDS);
            ended = true;
            fixture.exitGateway();
            for (Future<?> end : clientEnds) {
                end.get(2 * DRAIN_GRACE_MS, TimeUnit.MILLISECONDS);
            }
            Thread.sleep(QUIET_MS);
        } finally {
            ended = true;
            steadyClient.stop();
            undisturbedClient.stop();
            clients.shutdownNow();
            steady.close();
        }
        return report(steadyClient, undisturbedClient);
    }

    private ShapedUpstream startUpstream(String id) throws IOException {
        ShapedUpstream upstream = new ShapedUpstream(runs, () -> replaceLater(id));
        synchronized (upstreams) {
            upstreams.add(upstream);
        }
        return upstream;
    }

    /** Starts another upstream some time after one has ended. */
    private void replaceLater(String id) {
        int instance = instances.getAndIncrement();
        String newId = "u" + instance;
        long delayMs = ShapedDraws.random(seed, -instance).nextLong(300, 900);
        Thread restart = new Thread(
                () -> {
                    try {
                        Thread.sleep(delayMs);
                        fixture.replaceEntry(id, newId, startUpstream(newId).port());
                    } catch (IOException failed) {
                        runs.violate("an upstream can't be started: " + failed);
                    } catch (InterruptedException interrupted) {
                        Thread.currentThread().interrupt();
                    }
                },
                "upstream-restart");
        restart.setDaemon(true);
        restart.start();
    }

    private void requestUntilEnd() {
        try (ShapedClient client = new ShapedClient(fixture, () -> draining)) {
            int number = numbers.getAndIncrement();
            while (!ended && number < MAX_REQUESTS) {
                try {
                    ShapedAnswer answer = client.send(ShapedRequest.draw(seed, number));
                    answers.put(number, answer);
                    if (answer.refused()) {
                        Thread.sleep(REFUSED_PAUSE_MS);
                    }
                } catch (AssertionError violation) {
                    runs.violate(violation.toString());
                    client.close();
                }
                number = numbers.getAndIncrement();
            }
        } catch (IOException closed) {
            // Nobody listens any more at the end of the drain.
            if (!draining) {
                runs.violate("no connection: " + closed);
            }
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
        }
    }

    private ShapedReport report(SteadyClient steadyClient, SteadyClient undisturbedClient) {
        Map<String, Integer> counts = new HashMap<>();
        List<String> violations = new ArrayList<>(runs.violations());
        List<String> lost = new ArrayList<>();
        answers.forEach((number, answer) -> {
            ShapedRequest request = ShapedRequest.draw(seed, number);
            List<ShapedRun> requestRuns = runs.of(request.id());
            counts.merge(kind(answer), 1, Integer::sum);
            ShapedOracle.judge(request, answer, requestRuns).ifPresent(violations::add);
            if (isLost(answer, requestRuns)) {
                lost.add(request + "\n  " + answer + "\n  " + requestRuns);
            }
        });
        return new ShapedReport(
                seed,
                counts,
                violations,
                lost,
                steadyClient.failures(),
                steadyClient.longestWaitMs(),
                undisturbedClient.longestWaitMs());
    }

    private static String kind(ShapedAnswer answer) {
        return (answer.drained() ? "drain " : "") + answer.end() + " " + answer.status()
                + (answer.seal().isEmpty() ? "" : " sealed");
    }

    private static boolean isLost(ShapedAnswer answer, List<ShapedRun> requestRuns) {
        return requestRuns.size() == 1
                && requestRuns.getFirst().ran()
                && !requestRuns.getFirst().improper()
                && requestRuns.getFirst().end() == ShapedRun.End.WHOLE
                && answer.end() != ShapedAnswer.End.LEFT
                && (answer.end() != ShapedAnswer.End.WHOLE || answer.seal().isEmpty());
    }

    @Override
    public void close() throws Exception {
        ended = true;
        fixture.close();
        undisturbed.close();
        synchronized (upstreams) {
            for (ShapedUpstream upstream : upstreams) {
                upstream.close();
            }
        }
    }
}
