package org.kingcuproad.policy.revision;

import java.util.Collection;
import java.util.List;
import org.kingcuproad.policy.membership.RendezvousHash;

/**
 * Selects the relays of a data centre by rendezvous hashing. Processes whose lists of live entries differ may select
 * different relays; additional relays are harmless, so no leader election is needed.
 */
public final class RelaySelector {

    /** Relays per data centre; with two, one may fail without interrupting the distribution of documents. */
    public static final int RELAYS_PER_DATA_CENTRE = 2;

    private RelaySelector() {}

    /**
     * Selects the relays of a data centre.
     *
     * @param environment name of the environment
     * @param dataCentre name of the data centre
     * @param liveEntries names of the live entries of the data centre
     * @return at most {@link #RELAYS_PER_DATA_CENTRE} names, the preferred one first
     */
    public static List<String> select(String environment, String dataCentre, Collection<String> liveEntries) {
        return RendezvousHash.pick(environment + '/' + dataCentre, liveEntries, RELAYS_PER_DATA_CENTRE);
    }
}
