package org.kingcuproad.experiment.lockstep;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.PriorityQueue;
import java.util.Random;

/**
 * Plays a load on gateways before one group. Time goes on pass by pass; gateways learn of one another's requests with
 * the delay of their messages.
 */
public final class LockstepSimulation {

    private static final int GATEWAYS = 6;
    private static final double GAP_GOAL_MS = 120;
    private static final long TELL_MS = 50;
    private static final double WARM_UP_MS = 2_000;
    private static final double END_MS = 6_000;
    private static final double PROMPT_SPREAD = 0.8;
    private static final int MOST_PROMPT_TOKENS = 2_900;
    private static final double EVENTS_SPREAD = 0.7;
    private static final int MOST_EVENTS = 70;
    private static final double MOST_FACTOR = 1.5;

    /** Length of a pass without work; an idle group makes no passes. */
    private static final double IDLE_MS = 5;

    private final EngineModel model;
    private final SimulatedLoad load;
    private final CallerReport report = new CallerReport();
    private final double lengthMs;
    private final Random random;
    private final List<SimulatedGateway> gateways = new ArrayList<>();
    private final List<List<SimulatedStream>> running = new ArrayList<>();
    private final PriorityQueue<SimulatedStream> arrivals =
            new PriorityQueue<>(java.util.Comparator.comparingLong(SimulatedStream::arrivedMs));
    private final Map<SimulatedStream, SimulatedGateway> homes = new HashMap<>();
    private final List<SimulatedStream> waiting = new ArrayList<>();
    private int[][] told = new int[GATEWAYS][];
    private double[][] toldUnread = new double[GATEWAYS][];
    private double toldMs = -TELL_MS;
    private double nowMs;
    private int asked;
    private int onTime;
    private int late;
    private int refused;
    private int abandoned;

    private LockstepSimulation(EngineModel model, LockstepPolicy policy, SimulatedLoad load, long seed) {
        this.model = model;
        this.load = load;
        this.lengthMs = WARM_UP_MS + load.seconds() * 1_000;
        this.random = new Random(seed);
        for (int gateway = 0; gateway < GATEWAYS; gateway++) {
            gateways.add(new SimulatedGateway(model, policy, new Random(random.nextLong())));
        }
        for (int rank = 0; rank < model.ranks(); rank++) {
            running.add(new ArrayList<>());
        }
    }

    /**
     * Plays a load.
     *
     * @param model the group
     * @param policy how gateways decide
     * @param streamsPerSecond offered load
     * @param seconds length of the run after two seconds of warm-up
     * @param seed seed of all draws
     * @return what callers got
     */
    public static LockstepResult run(
            EngineModel model, LockstepPolicy policy, double streamsPerSecond, double seconds, long seed) {
        LoadPart part = new LoadPart(CallerKind.SHEET, "", streamsPerSecond, 0, Double.MAX_VALUE);
        return new LockstepSimulation(model, policy, SimulatedLoad.of(seconds, part), seed).play();
    }

    /** Plays a load of several kinds; returns what callers got by kind, workspace and size. */
    static CallerReport report(EngineModel model, LockstepPolicy policy, SimulatedLoad load, long seed) {
        LockstepSimulation simulation = new LockstepSimulation(model, policy, load, seed);
        simulation.play();
        return simulation.report;
    }

    private LockstepResult play() {
        load.parts().forEach(this::drawArrivals);
        tell();
        while (nowMs < lengthMs) {
            if (nowMs >= load.lossMs()) {
                gateways.forEach(gateway -> gateway.loseRanks(load.lostRanks()));
            }
            admit();
            leave();
            if (nowMs - toldMs >= TELL_MS) {
                tell();
            }
            nowMs += pass();
        }
        return new LockstepResult(asked, onTime, late, refused, abandoned, load.seconds());
    }

    private void drawArrivals(LoadPart part) {
        for (double atMs = part.fromMs();
                atMs < Math.min(lengthMs, part.untilMs());
                atMs += -Math.log(1 - random.nextDouble()) / part.perSecond() * 1_000) {
            long arrivedMs = (long) atMs;
            asked += atMs >= WARM_UP_MS ? 1 : 0;
            SimulatedStream stream = new SimulatedStream(
                    part,
                    arrivedMs,
                    arrivedMs,
                    false,
                    spread(part.kind().promptTokens(), PROMPT_SPREAD, MOST_PROMPT_TOKENS),
                    spread(part.kind().events(), EVENTS_SPREAD, MOST_EVENTS));
            arrivals.add(stream);
            if (reported(stream)) {
                report.onAsked(stream);
            }
        }
    }

    private int spread(double mean, double spread, int most) {
        double drawn = mean * Math.exp(spread * random.nextGaussian() - spread * spread / 2);
        return (int) Math.clamp(drawn, 1, Math.max(most, MOST_FACTOR * mean));
    }

    /** Requests of the last seconds are left out, since the run ends before their streams do. */
    private boolean reported(SimulatedStream stream) {
        return stream.firstArrivedMs() >= WARM_UP_MS && stream.firstArrivedMs() < lengthMs - END_MS;
    }

    private boolean counted(SimulatedStream stream) {
        return stream.arrivedMs() >= WARM_UP_MS;
    }

    private SimulatedGateway home(SimulatedStream stream) {
        return Objects.requireNonNull(homes.get(stream));
    }

    private void tell() {
        toldMs = nowMs;
        for (int gateway = 0; gateway < GATEWAYS; gateway++) {
            told[gateway] = new int[model.ranks()];
            toldUnread[gateway] = new double[model.ranks()];
            for (int other = 0; other < GATEWAYS; other++) {
                for (int rank = 0; other != gateway && rank < model.ranks(); rank++) {
                    told[gateway][rank] += gateways.get(other).inFlight(rank);
                    toldUnread[gateway][rank] += gateways.get(other).unreadTokens(rank);
                }
            }
        }
    }

    private void admit() {
        long atMs = (long) nowMs;
        for (int gateway = 0; gateway < GATEWAYS; gateway++) {
            take(gateways.get(gateway).pump(told[gateway], toldUnread[gateway], atMs), gateways.get(gateway));
        }
        while (!arrivals.isEmpty() && arrivals.peek().arrivedMs() <= nowMs) {
            SimulatedStream arrived = arrivals.remove();
            int gateway = random.nextInt(GATEWAYS);
            SimulatedGateway home = gateways.get(gateway);
            homes.put(arrived, home);
            waiting.add(arrived);
            take(home.submit(arrived, told[gateway], toldUnread[gateway], atMs), home);
        }
    }

    private void take(List<SimulatedGateway.Step> steps, SimulatedGateway home) {
        for (SimulatedGateway.Step step : steps) {
            switch (step) {
                case SimulatedGateway.Step.Started started -> {
                    waiting.remove(started.stream());
                    running.get(started.stream().rank()).add(started.stream());
                }
                case SimulatedGateway.Step.Refused turnedAway -> {
                    SimulatedStream stream = turnedAway.stream();
                    waiting.remove(stream);
                    homes.remove(stream);
                    if (stream.returning()) {
                        refused += counted(stream) ? 1 : 0;
                    } else {
                        arrivals.add(stream.again((long) nowMs + turnedAway.retryAfterMs()));
                    }
                }
            }
        }
    }

    /** Callers leave after two seconds without a sign; their work ends at once. */
    private void leave() {
        for (SimulatedStream stream : List.copyOf(waiting)) {
            if (nowMs - stream.lastSignMs() > stream.kind().patienceMs()) {
                waiting.remove(stream);
                home(stream).forget(stream);
                abandoned += counted(stream) ? 1 : 0;
            }
        }
        for (List<SimulatedStream> atRank : running) {
            for (SimulatedStream stream : List.copyOf(atRank)) {
                if (nowMs - stream.lastSignMs() > stream.kind().patienceMs()) {
                    atRank.remove(stream);
                    home(stream).onEnd(stream, (long) nowMs);
                    abandoned += counted(stream) ? 1 : 0;
                }
            }
        }
    }

    private double pass() {
        double slowestMs = 0;
        double sumMs = 0;
        List<SimulatedStream> writing = new ArrayList<>();
        for (List<SimulatedStream> atRank : running) {
            List<SimulatedStream> inSlots = atRank.stream().limit(model.slots()).toList();
            int readTokens = 0;
            int mostTokens = model.chunkTokens() * model.stride();
            for (SimulatedStream stream : inSlots) {
                readTokens += stream.read(mostTokens - readTokens);
            }
            List<SimulatedStream> ready =
                    inSlots.stream().filter(stream -> !stream.reading()).toList();
            writing.addAll(ready);
            double rankMs = inSlots.isEmpty() ? 0 : model.rankMs(ready.size(), readTokens);
            slowestMs = Math.max(slowestMs, rankMs);
            sumMs += rankMs;
        }
        if (slowestMs == 0) {
            return IDLE_MS;
        }
        double lengthOfPassMs = model.passMs(slowestMs, sumMs / model.ranks());
        writing.forEach(stream -> emit(stream, nowMs + lengthOfPassMs));
        return lengthOfPassMs;
    }

    private void emit(SimulatedStream stream, double atMs) {
        SimulatedGateway home = home(stream);
        if (!stream.begun()) {
            home.onFirstEvent(stream, (long) atMs);
        }
        home.pace().onEvent((long) atMs);
        if (stream.onEvent(atMs, GAP_GOAL_MS)) {
            running.get(stream.rank()).remove(stream);
            homes.remove(stream);
            home.onEnd(stream, (long) atMs);
            if (reported(stream)) {
                report.onComplete(stream);
            }
            if (counted(stream)) {
                onTime += stream.late() ? 0 : 1;
                late += stream.late() ? 1 : 0;
            }
        }
    }
}
