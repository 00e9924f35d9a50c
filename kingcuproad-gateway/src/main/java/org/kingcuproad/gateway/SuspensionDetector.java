package org.kingcuproad.gateway;

/** Detects that the VM was suspended, during which only the time of day advances, or that its time of day jumped. */
final class SuspensionDetector {

    /** Difference of the clocks that indicates a suspension. */
    private static final long THRESHOLD_MS = 700;

    private long lastSteadyMs;
    private long lastWallMs;
    private long differenceMs;

    /**
     * Compares how far the clocks have advanced since the last call. The first call only sets the start.
     *
     * @param steadyMs current time of the steady clock, in milliseconds
     * @param wallMs current time of day, in milliseconds
     * @return whether the time of day has advanced further than a running VM explains
     */
    boolean suspended(long steadyMs, long wallMs) {
        boolean first = lastWallMs == 0;
        differenceMs = wallMs - lastWallMs - (steadyMs - lastSteadyMs);
        lastSteadyMs = steadyMs;
        lastWallMs = wallMs;
        return !first && differenceMs > THRESHOLD_MS;
    }

    /** Returns the time by which the time of day advanced further than the steady clock, in milliseconds. */
    long differenceMs() {
        return differenceMs;
    }
}
