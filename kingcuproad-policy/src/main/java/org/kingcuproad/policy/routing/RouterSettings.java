package org.kingcuproad.policy.routing;

/**
 * Constants of the routing policy; docs/routing.md gives the reason for each default.
 *
 * @param affinityLoadFactor highest load of an upstream chosen by affinity, as a multiple of the mean load
 * @param prefixTableEntries prefixes that the router remembers, a power of two
 * @param failuresBeforeEjection consecutive failures or stalls that eject an upstream
 * @param ejectionBaseMs length of the first ejection, in milliseconds
 * @param ejectionMaxMs longest ejection, in milliseconds
 * @param returnRampMs time in which an upstream returns to its full share after an ejection, in milliseconds
 * @param probeIntervalMs time between probes while every upstream of a group is ejected, in milliseconds
 * @param latencyWindowMs time constant of the averages of latency, in milliseconds
 * @param maxSlowness largest factor by which a slow upstream's load is weighed up
 */
public record RouterSettings(
        double affinityLoadFactor,
        int prefixTableEntries,
        int failuresBeforeEjection,
        long ejectionBaseMs,
        long ejectionMaxMs,
        long returnRampMs,
        long probeIntervalMs,
        double latencyWindowMs,
        double maxSlowness) {

    /**
     * Returns the settings that entries use.
     *
     * @return the default settings
     */
    public static RouterSettings defaults() {
        return new RouterSettings(1.25, 65_536, 3, 1_000, 60_000, 10_000, 1_000, 2_000, 4.0);
    }

    /**
     * Changes the affinity bound.
     *
     * @param factor highest load of an upstream chosen by affinity, as a multiple of the mean load
     * @return a copy with this bound
     */
    public RouterSettings withAffinityLoadFactor(double factor) {
        return new RouterSettings(
                factor,
                prefixTableEntries,
                failuresBeforeEjection,
                ejectionBaseMs,
                ejectionMaxMs,
                returnRampMs,
                probeIntervalMs,
                latencyWindowMs,
                maxSlowness);
    }
}
