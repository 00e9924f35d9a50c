package org.kingcuproad.policy.routing;

/**
 * Tuning parameters of the routing policy; docs/routing.md gives the reason for each default.
 *
 * @param affinityLoadFactor maximum load of an upstream chosen by affinity, as a multiple of the mean load
 * @param prefixTableEntries capacity of the prefix table in entries, a power of two
 * @param failuresBeforeEjection consecutive failures or stalls that eject an upstream
 * @param ejectionBaseMs duration of the first ejection, in milliseconds
 * @param ejectionMaxMs maximum duration of an ejection before jitter, in milliseconds
 * @param slowStartMs time over which a readmitted upstream ramps up to its full share of traffic, in milliseconds
 * @param probeIntervalMs minimum time between probes while every upstream of a group is ejected, in milliseconds
 * @param latencyWindowMs time constant of the latency averages, in milliseconds
 * @param maxSlowness maximum factor by which the load of a slow upstream is scaled up, and that of a fast one scaled
 *     down
 */
public record RouterSettings(
        double affinityLoadFactor,
        int prefixTableEntries,
        int failuresBeforeEjection,
        long ejectionBaseMs,
        long ejectionMaxMs,
        long slowStartMs,
        long probeIntervalMs,
        double latencyWindowMs,
        double maxSlowness) {

    /**
     * Returns the default settings, which entries use.
     *
     * @return the default settings
     */
    public static RouterSettings defaults() {
        return new RouterSettings(1.25, 65_536, 3, 1_000, 60_000, 10_000, 1_000, 2_000, 4.0);
    }

    /**
     * Returns a copy of these settings with another load bound for affinity.
     *
     * @param factor maximum load of an upstream chosen by affinity, as a multiple of the mean load
     * @return a copy with this bound
     */
    public RouterSettings withAffinityLoadFactor(double factor) {
        return new RouterSettings(
                factor,
                prefixTableEntries,
                failuresBeforeEjection,
                ejectionBaseMs,
                ejectionMaxMs,
                slowStartMs,
                probeIntervalMs,
                latencyWindowMs,
                maxSlowness);
    }
}
