package org.kingcuproad.policy.revision;

import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import net.openhft.hashing.LongHashFunction;

/**
 * Chooses the relays of a data centre by rendezvous hashing. Processes with different lists of entries may choose
 * differently; extra relays are harmless, so there is no election.
 */
public final class RelayChoice {

    /** Relays of a data centre: one may die without a gap. */
    public static final int RELAYS = 2;

    private static final LongHashFunction HASH = LongHashFunction.xx3(6);

    private RelayChoice() {}

    /**
     * Chooses the relays.
     *
     * @param environment name of the environment
     * @param dataCentre name of the data centre
     * @param liveEntries names of the live entries of the data centre
     * @return at most {@link #RELAYS} names, the preferred one first
     */
    public static List<String> choose(String environment, String dataCentre, Collection<String> liveEntries) {
        String prefix = environment + '/' + dataCentre + '/';
        return liveEntries.stream()
                .distinct()
                .sorted(Comparator.comparingLong((String entry) -> HASH.hashChars(prefix + entry))
                        .thenComparing(Comparator.naturalOrder()))
                .limit(RELAYS)
                .toList();
    }
}
