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

/** Decides which upstreams an entry keeps connections to, and finds the addresses of their agents. */
public final class UpstreamDirectory {

    private final String entry;
    private final int subsetSize;

    /**
     * Creates a directory.
     *
     * @param entry name of the entry, which decides its subset
     * @param subsetSize upstreams that the entry connects to in each model group or service
     */
    public UpstreamDirectory(String entry, int subsetSize) {
        this.entry = entry;
        this.subsetSize = subsetSize;
    }

    /**
     * Chooses the upstreams to connect to: of each group or service a subset that differs from entry to entry and stays
     * the same while the document does.
     *
     * @param document the document in force
     * @param addresses addresses of the agents by VM
     * @return upstreams whose address is known
     */
    public List<Upstream> connected(EnvironmentDocument document, Map<String, HostPort> addresses) {
        Map<String, List<Upstream>> byGroup = document.upstreams().stream()
                .filter(upstream -> addresses.containsKey(upstream.vm()))
                .collect(Collectors.groupingBy(Upstream::group));
        return byGroup.values().stream()
                .flatMap(members -> subset(members).stream())
                .toList();
    }

    /**
     * Finds the addresses of agents.
     *
     * @param upstreams upstreams whose VM has an address
     * @param addresses addresses of the agents by VM
     * @return addresses by the name of the upstream
     */
    public static Map<String, InetSocketAddress> addresses(
            Collection<Upstream> upstreams, Map<String, HostPort> addresses) {
        return upstreams.stream()
                .filter(upstream -> addresses.containsKey(upstream.vm()))
                .collect(Collectors.toMap(Upstream::name, upstream -> address(upstream, addresses)));
    }

    private List<Upstream> subset(List<Upstream> members) {
        List<String> names = members.stream().map(Upstream::name).toList();
        Set<String> picked = Set.copyOf(RendezvousHash.pick(entry, names, subsetSize));
        return members.stream()
                .filter(upstream -> picked.contains(upstream.name()))
                .toList();
    }

    private static InetSocketAddress address(Upstream upstream, Map<String, HostPort> addresses) {
        HostPort address = Objects.requireNonNull(addresses.get(upstream.vm()));
        return new InetSocketAddress(address.host(), address.port());
    }
}
