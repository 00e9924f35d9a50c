package org.kingcuproad.policy.mapswitch;

import org.jspecify.annotations.Nullable;

/**
 * Fake engine of one rank: begins a step if it is neither held nor frozen, using the map that is current at that time.
 */
final class FakeEngine {

    static final long NEVER = Long.MAX_VALUE;

    private final boolean checksFencing;
    private long map;
    private @Nullable SwitchId scheduled;
    private long holdStep = NEVER;
    private boolean frozen;
    private long fence;
    long begunStep;
    long begunMap;

    FakeEngine(boolean checksFencing, long map, long begunStep) {
        this.checksFencing = checksFencing;
        this.map = map;
        this.begunStep = begunStep;
    }

    boolean canBegin(long step) {
        return !frozen && begunStep < step && holdStep > step;
    }

    void begin(long step) {
        SwitchId next = scheduled;
        if (next != null && step >= next.step()) {
            map = next.mapVersion();
            scheduled = null;
        }
        begunStep = step;
        begunMap = map;
    }

    boolean isHeldAt(long step) {
        return holdStep == step && begunStep < step;
    }

    /**
     * Returns whether a command with this fencing token is executed; an engine without fencing executes every command.
     */
    boolean accepts(long token) {
        if (checksFencing && token < fence) {
            return false;
        }
        fence = Math.max(fence, token);
        return true;
    }

    long highestFence() {
        return fence;
    }

    boolean hold(long step) {
        if (begunStep >= step) {
            return false;
        }
        holdStep = step;
        return true;
    }

    void schedule(SwitchId id) {
        scheduled = id;
        holdStep = NEVER;
    }

    void release() {
        holdStep = NEVER;
    }

    long freeze() {
        frozen = true;
        return map;
    }

    void join(long baseMap, @Nullable SwitchId committed) {
        map = baseMap;
        scheduled = committed;
        if (committed != null && begunStep >= committed.step()) {
            begin(begunStep);
        }
        holdStep = NEVER;
        frozen = false;
    }
}
