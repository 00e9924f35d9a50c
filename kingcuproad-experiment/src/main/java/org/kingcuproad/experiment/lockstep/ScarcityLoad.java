package org.kingcuproad.experiment.lockstep;

import java.util.List;
import java.util.stream.Stream;

/** Loads above the capacity of {@link EngineModel#LARGE_GROUP}. */
enum ScarcityLoad {

    /** The kinds at nine tenths of the capacity. */
    CALM,

    /** Four times as many requests of the least urgent kind for five seconds, twice, beside steady urgent ones. */
    LEAST_URGENT_BURST,

    /** One and a half times as many requests of all kinds as the group serves on time. */
    ALL_KINDS,

    /** One of five workspaces sends four in five requests. */
    ONE_WORKSPACE,

    /** A third of the engines accept no more requests. */
    CAPACITY_LOSS,

    /** Requests with ten times the prompt arrive now and then, above the capacity. */
    LARGE_REQUESTS,

    /** One and a half times the capacity in requests of a single priority. */
    SINGLE_PRIORITY;

    static final CallerKind URGENT = new CallerKind("p0", 0, 3.1, 403, 870, 23);
    static final CallerKind NORMAL = new CallerKind("p1", 1, 1.6, 403, 870, 23);
    static final CallerKind PATIENT = new CallerKind("p2", 2, 0.8, 803, 870, 23);
    private static final CallerKind HUGE = new CallerKind("p1 huge", 1, 1.6, 803, 8_700, 40);

    /** Streams a second that the group serves with 9 in 10 or more on time. */
    static final double CAPACITY = 62;

    private static final double SECONDS = 30;
    private static final double LOSS_MS = 12_000;
    private static final double END_MS = 1e9;

    /** Shares of the kinds: 64, 85 and 28 of 177 requests. */
    private static Stream<LoadPart> mix(String workspace, double perSecond) {
        return Stream.of(
                steady(URGENT, workspace, 0.36 * perSecond),
                steady(NORMAL, workspace, 0.48 * perSecond),
                steady(PATIENT, workspace, 0.16 * perSecond));
    }

    private static LoadPart steady(CallerKind kind, String workspace, double perSecond) {
        return new LoadPart(kind, workspace, perSecond, 0, END_MS);
    }

    private static LoadPart burst(double fromMs) {
        return new LoadPart(PATIENT, "a", 3 * 0.16 * CAPACITY, fromMs, fromMs + 5_000);
    }

    private static SimulatedLoad load(Stream<LoadPart> parts) {
        return new SimulatedLoad(parts.toList(), SECONDS, END_MS, 0);
    }

    SimulatedLoad load() {
        return switch (this) {
            case CALM -> load(mix("a", 0.9 * CAPACITY));
            case LEAST_URGENT_BURST ->
                load(Stream.concat(mix("a", 1.2 * CAPACITY), Stream.of(burst(6_000), burst(20_000))));
            case ALL_KINDS -> load(mix("a", 1.5 * CAPACITY));
            case ONE_WORKSPACE ->
                load(Stream.concat(
                        mix("a", 1.2 * CAPACITY),
                        List.of("b", "c", "d", "e").stream().flatMap(name -> mix(name, 0.075 * CAPACITY))));
            case CAPACITY_LOSS -> new SimulatedLoad(mix("a", 1.2 * CAPACITY).toList(), SECONDS, LOSS_MS, 8);
            case LARGE_REQUESTS ->
                load(Stream.concat(mix("a", 1.35 * CAPACITY), Stream.of(steady(HUGE, "a", 0.03 * CAPACITY))));
            case SINGLE_PRIORITY -> load(Stream.of(steady(NORMAL, "a", 1.5 * CAPACITY)));
        };
    }
}
