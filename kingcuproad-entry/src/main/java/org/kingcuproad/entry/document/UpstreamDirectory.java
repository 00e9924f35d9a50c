package org.kingcuproad.entry.document;

import java.net.InetSocketAddress;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import java.util.stream.Collectors;
import org.kingcuproad.model.EnvironmentDocument;
import org.kingcuproad.model.HostPort;
import org.kingcuproad.model.Upstream;
import org.kingcuproad.policy.membership.RendezvousHash;

/** Selects the upstreams that an entry connects to, and looks up the addresses of their agents. */
public final class UpstreamDirectory {

    private final String entry;
    private final int subsetSize;

    /**
     * Creates a directory.
     *
     * @param entry name of the entry, which determines its subset
     * @param subsetSize number of upstreams per model group or service that the entry connects to
     */
    public UpstreamDirectory(String entry, int subsetSize) {
        this.entry = entry;
        this.subsetSize = subsetSize;
    }

    /**
     * Selects the upstreams to connect to: a subset of each model group or service, which differs between entries and
     * remains the same as long as the document does.
     *
     * @param document the document in force
     * @param addresses addresses of the agents by VM
     * @return the selected upstreams, all of which have a known address
     */
    public List<Upstream> selectConnected(EnvironmentDocument document, Map<String, HostPort> addresses) {
        Map<String, List<Upstream>> byGroup = document.upstreams().stream()
                .filter(upstream -> addresses.containsKey(upstream.vm()))
                .collect(Collectors.groupingBy(Upstream::group));
        return byGroup.values().stream()
                .flatMap(members -> selectSubset(members).stream())
                .toList();
    }

    /**
     * Returns the addresses of agents.
     *
     * @param upstreams upstreams; those whose VM has no known address are left out
     * @param addresses addresses of the agents by VM
     * @return addresses of the agents by upstream name
     */
    public static Map<String, InetSocketAddress> agentAddresses(
            Collection<Upstream> upstreams, Map<String, HostPort> addresses) {
        return upstreams.stream()
                .filter(upstream -> addresses.containsKey(upstream.vm()))
                .collect(Collectors.toMap(Upstream::name, upstream -> agentAddress(upstream, addresses)));
    }

    private List<Upstream> selectSubset(List<Upstream> members) {
        List<String> names = members.stream().map(Upstream::name).toList();
        Set<String> selectedNames = Set.copyOf(RendezvousHash.pick(entry, names, subsetSize));
        return members.stream()
                .filter(upstream -> selectedNames.contains(upstream.name()))
                .toList();
    }

    private static InetSocketAddress agentAddress(Upstream upstream, Map<String, HostPort> addresses) {
        HostPort address = Objects.requireNonNull(addresses.get(upstream.vm()));
        return new InetSocketAddress(address.host(), address.port());
    }
}
