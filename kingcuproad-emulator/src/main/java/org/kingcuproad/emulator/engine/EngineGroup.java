package org.kingcuproad.emulator.engine;

import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.util.concurrent.ScheduledFuture;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.kingcuproad.model.KingcuproadException;

/**
 * The engines of one model group, whose ranks advance in lock-step: a step begins in all ranks or in none, and every
 * run in the group gets one token a step. All state lives on one event loop.
 */
public final class EngineGroup {

    private static final int HISTORY_STEPS = 512;

    private final GroupSettings settings;
    private final EventLoop loop;
    private final List<EngineStandIn> engines = new ArrayList<>();
    private final List<EngineMaps> maps = new ArrayList<>();
    private final ArrayDeque<MapStep> history = new ArrayDeque<>();
    private final ScheduledFuture<?> steps;
    private List<Runnable> tokens = new ArrayList<>();
    private long step;
    private long mixedSteps;

    private EngineGroup(EventLoopGroup eventLoops, GroupSettings settings, List<EngineSettings> engineSettings)
            throws KingcuproadException {
        this.settings = settings;
        this.loop = eventLoops.next();
        for (EngineSettings each : engineSettings) {
            EngineMaps engineMaps = new EngineMaps(settings.checksFencing());
            maps.add(engineMaps);
            engines.add(EngineStandIn.startInGroup(
                    eventLoops, loop, each, action -> tokens.add(action), new MapRoutes(this, engineMaps)));
        }
        this.steps =
                loop.scheduleAtFixedRate(this::advance, settings.stepMs(), settings.stepMs(), TimeUnit.MILLISECONDS);
    }

    /**
     * Starts a group.
     *
     * @param eventLoops event loops for the engines and their connections
     * @param settings how the ranks advance
     * @param engineSettings settings of each engine; their token time is not used
     * @return the running group
     * @throws KingcuproadException if an address can't be bound
     */
    public static EngineGroup start(
            EventLoopGroup eventLoops, GroupSettings settings, List<EngineSettings> engineSettings)
            throws KingcuproadException {
        return new EngineGroup(eventLoops, settings, engineSettings);
    }

    /**
     * Returns the engines.
     *
     * @return the engines in the order of their settings
     */
    public List<EngineStandIn> engines() {
        return List.copyOf(engines);
    }

    /**
     * Returns the maps of the last steps.
     *
     * @return one entry for each rank and step, oldest first
     */
    public List<MapStep> history() {
        return loop.submit(this::recentSteps).syncUninterruptibly().getNow();
    }

    /**
     * Counts the steps in which the ranks used different maps.
     *
     * @return number of steps since the start
     */
    public long mixedSteps() {
        return loop.submit(() -> mixedSteps).syncUninterruptibly().getNow();
    }

    /** Stops all engines at once. */
    public void close() {
        steps.cancel(false);
        engines.forEach(EngineStandIn::close);
    }

    GroupSettings settings() {
        return settings;
    }

    long step() {
        return step;
    }

    long nowMs() {
        return TimeUnit.NANOSECONDS.toMillis(System.nanoTime());
    }

    List<MapStep> recentSteps() {
        return List.copyOf(history);
    }

    private void advance() {
        long next = step + 1;
        if (maps.stream().anyMatch(engine -> engine.holds(next))) {
            return;
        }
        step = next;
        maps.forEach(engine -> engine.begin(next));
        if (maps.stream().mapToLong(EngineMaps::mapVersion).distinct().count() > 1) {
            mixedSteps++;
        }
        remember(next);
        List<Runnable> due = tokens;
        tokens = new ArrayList<>();
        due.forEach(Runnable::run);
    }

    private void remember(long used) {
        int ranks = settings.ranksPerEngine();
        for (int engine = 0; engine < maps.size(); engine++) {
            for (int rank = 0; rank < ranks; rank++) {
                history.addLast(new MapStep(
                        engine * ranks + rank, used, maps.get(engine).mapVersion()));
            }
        }
        while (history.size() > HISTORY_STEPS * maps.size() * ranks) {
            history.removeFirst();
        }
    }
}
