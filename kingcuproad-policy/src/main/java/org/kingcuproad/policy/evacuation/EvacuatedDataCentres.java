package org.kingcuproad.policy.evacuation;

import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * The data centres to which nothing is sent because operators have evacuated them.
 *
 * <p>It answers the load that moves at once from one data centre to the others, and back: a data centre whose
 * evacuation has ended is empty, so its upstreams have the least cost and would get all new requests at the same time.
 * They therefore may hold a number of requests that grows with the time since the evacuation ended.
 *
 * <p>The last known state is kept while the store is out of reach. Until the first listing all data centres count as
 * evacuated, since any of them may be.
 */
public final class EvacuatedDataCentres {

    /**
     * Time after an evacuation in which the upstreams get back their slots; about the duration of a stream, so that the
     * requests of a returning upstream end at different times.
     */
    public static final long RETURN_MS = 3_000;

    private final boolean enabled;
    private boolean listed;
    private final Set<String> evacuated = new HashSet<>();
    private final Map<String, Long> endTimesMs = new HashMap<>();

    /**
     * Data centres whose state has changed.
     *
     * @param begun those that are evacuated from now on
     * @param ended those that are no longer evacuated
     */
    public record Changes(List<String> begun, List<String> ended) {}

    /**
     * Creates the state before the first listing.
     *
     * @param enabled whether operators of the deployment evacuate data centres; otherwise none is ever evacuated
     */
    public EvacuatedDataCentres(boolean enabled) {
        this.enabled = enabled;
    }

    /**
     * Replaces the evacuations by a complete listing.
     *
     * @param names names of all evacuated data centres
     * @param nowMs current time, in milliseconds
     * @return what has changed
     */
    public Changes onListing(Collection<String> names, long nowMs) {
        listed = true;
        List<String> ended =
                evacuated.stream().filter(name -> !names.contains(name)).toList();
        List<String> begun = names.stream().distinct().filter(this::onEntry).toList();
        ended.forEach(name -> onDeleted(name, nowMs));
        return new Changes(begun, ended);
    }

    /**
     * Records that the evacuation of a data centre is requested.
     *
     * @param name name of the data centre
     * @return whether it was not evacuated before
     */
    public boolean onEntry(String name) {
        endTimesMs.remove(name);
        return evacuated.add(name);
    }

    /**
     * Records that the evacuation of a data centre has ended.
     *
     * @param name name of the data centre
     * @param nowMs current time, in milliseconds
     * @return whether it was evacuated before
     */
    public boolean onDeleted(String name, long nowMs) {
        endTimesMs.values().removeIf(endMs -> nowMs - endMs >= RETURN_MS);
        boolean ended = evacuated.remove(name);
        if (ended) {
            endTimesMs.put(name, nowMs);
        }
        return ended;
    }

    /**
     * Returns whether the evacuations are known, so that requests can be sent.
     *
     * @return {@code false} until the first listing, if the deployment has evacuations
     */
    public boolean known() {
        return !enabled || listed;
    }

    /**
     * Returns whether nothing may be sent to a data centre.
     *
     * @param dataCentre name of the data centre
     * @return {@code true} if it is evacuated, or if the evacuations are not known yet
     */
    public boolean covers(String dataCentre) {
        return !known() || evacuated.contains(dataCentre);
    }

    /**
     * Returns the names of the evacuated data centres, whether or not they are known to exist.
     *
     * @return a copy of the names
     */
    public Set<String> names() {
        return Set.copyOf(evacuated);
    }

    /**
     * Returns the number of slots of an upstream that may be used. It grows from 1 to all of them in {@link #RETURN_MS}
     * after an evacuation.
     *
     * @param dataCentre data centre of the upstream
     * @param slots slots of the upstream
     * @param nowMs current time, in milliseconds
     * @return a number from 1 to {@code slots}
     */
    public int usableSlots(String dataCentre, int slots, long nowMs) {
        Long endMs = endTimesMs.get(dataCentre);
        if (endMs == null || nowMs - endMs >= RETURN_MS) {
            return slots;
        }
        return (int) Math.max(1, slots * (nowMs - endMs) / RETURN_MS);
    }
}
