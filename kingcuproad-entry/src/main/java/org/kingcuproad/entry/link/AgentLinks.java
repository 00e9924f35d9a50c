package org.kingcuproad.entry.link;

import io.netty.channel.EventLoop;
import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.LongSupplier;

/** The connections of an entry to its agents. Confined to the event loop of the entry. */
public final class AgentLinks {

    private final String subscriber;
    private final EventLoop eventLoop;
    private final ReportListener listener;
    private final LongSupplier clockNs;
    private final Map<String, AgentLink> links = new HashMap<>();

    /**
     * Creates a set without connections.
     *
     * @param subscriber name of this entry
     * @param eventLoop event loop of the entry
     * @param listener receives the reports of all agents
     * @param clockNs monotonic clock, in nanoseconds
     */
    public AgentLinks(String subscriber, EventLoop eventLoop, ReportListener listener, LongSupplier clockNs) {
        this.subscriber = subscriber;
        this.eventLoop = eventLoop;
        this.listener = listener;
        this.clockNs = clockNs;
    }

    /**
     * Opens and closes connections so that exactly the given agents are connected. An agent whose address changed is
     * reconnected.
     *
     * @param addresses addresses of the agents by upstream name
     */
    public void update(Map<String, InetSocketAddress> addresses) {
        List<AgentLink> obsolete = links.values().stream()
                .filter(link -> !link.address().equals(addresses.get(link.upstream())))
                .toList();
        obsolete.forEach(link -> {
            links.remove(link.upstream());
            link.close();
        });
        addresses.forEach((upstream, address) -> links.computeIfAbsent(upstream, name -> open(name, address)));
    }

    /**
     * Returns the connection to an agent that has reported.
     *
     * @param upstream name of the upstream
     * @return the connection, or empty if the agent is not connected or has not reported yet
     */
    public Optional<AgentLink> connected(String upstream) {
        return Optional.ofNullable(links.get(upstream))
                .filter(link -> link.incarnation().isPresent());
    }

    /** Closes all connections. */
    public void close() {
        links.values().forEach(AgentLink::close);
        links.clear();
    }

    private AgentLink open(String upstream, InetSocketAddress address) {
        AgentLink link = new AgentLink(upstream, address, subscriber, eventLoop, listener, clockNs);
        link.open();
        return link;
    }
}
