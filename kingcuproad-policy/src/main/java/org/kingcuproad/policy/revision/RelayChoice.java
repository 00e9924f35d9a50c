package org.kingcuproad.policy.revision;

import java.util.Collection;
import java.util.List;
import org.kingcuproad.policy.membership.RendezvousHash;

/**
 * Chooses the relays of a data centre by rendezvous hashing. Processes with different lists of entries may choose
 * differently; extra relays are harmless, so there is no election.
 */
public final class RelayChoice {

    /** Relays of a data centre: one may die without a gap. */
    public static final int RELAYS = 2;

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
        return RendezvousHash.pick(environment + '/' + dataCentre, liveEntries, RELAYS);
    }
}
