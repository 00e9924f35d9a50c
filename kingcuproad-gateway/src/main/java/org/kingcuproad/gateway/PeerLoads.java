package org.kingcuproad.gateway;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.Stream;
import org.kingcuproad.policy.gateway.ConcurrencyLimit;

/** What the other gateways have at each upstream, as far as they told. */
final class PeerLoads {

    /** Several messages long, so that single lost datagrams do not matter. */
    private static final long FRESH_MS = 400;

    /** Time after which a gateway that is silent and not registered is forgotten. */
    private static final long FORGET_MS = 15_000;

    private final Map<String, Peer> peers = new HashMap<>();

    /**
     * Requests of the other gateways at one upstream.
     *
     * @param inFlight requests in progress
     * @param unreadTokens prompt tokens of those without a first event
     */
    record Load(int inFlight, double unreadTokens) {

        static final Load NONE = new Load(0, 0);

        Load plus(Load other) {
            return new Load(inFlight + other.inFlight, unreadTokens + other.unreadTokens);
        }
    }

    private static final class Peer {

        private InetSocketAddress address;
        private long heardMs = Long.MIN_VALUE / 2;
        private long listedMs = Long.MIN_VALUE / 2;
        private Map<String, Load> loads = Map.of();

        private Peer(InetSocketAddress address) {
            this.address = address;
        }

        private boolean fresh(long nowMs) {
            return nowMs - heardMs <= FRESH_MS;
        }
    }

    /** Returns what a gateway has at its upstreams, to be told to the others. */
    static Map<String, Load> of(Stream<Upstream> upstreams) {
        Map<String, Load> loads = new HashMap<>();
        upstreams
                .filter(upstream -> upstream.inFlight() > 0)
                .forEach(upstream ->
                        loads.put(upstream.entry().id(), new Load(upstream.inFlight(), upstream.unreadTokens())));
        return loads;
    }

    /** Notes a gateway that registered itself. */
    void onListed(String name, InetSocketAddress address, long nowMs) {
        Peer peer = peers.computeIfAbsent(name, unused -> new Peer(address));
        peer.address = address;
        peer.listedMs = nowMs;
    }

    /** Notes what a gateway told. */
    void onMessage(String name, InetSocketAddress address, Map<String, Load> loads, long nowMs) {
        Peer peer = peers.computeIfAbsent(name, unused -> new Peer(address));
        peer.address = address;
        peer.heardMs = nowMs;
        peer.loads = loads;
    }

    /** Returns the number of other gateways that are known. */
    int count() {
        return peers.size();
    }

    /** Returns the addresses of the other gateways. */
    List<InetSocketAddress> addresses(long nowMs) {
        peers.values().removeIf(peer -> nowMs - Math.max(peer.heardMs, peer.listedMs) > FORGET_MS);
        List<InetSocketAddress> addresses = new ArrayList<>();
        peers.values().forEach(peer -> addresses.add(peer.address));
        return addresses;
    }

    /** Returns what the other gateways have at an upstream. */
    Load of(String upstreamId, long nowMs) {
        return peers.values().stream()
                .filter(peer -> peer.fresh(nowMs))
                .map(peer -> peer.loads.getOrDefault(upstreamId, Load.NONE))
                .reduce(Load.NONE, Load::plus);
    }

    /** Returns how many requests all gateways together should have at an upstream. */
    int limit(int slots, int own, Load told, long nowMs) {
        int silent =
                (int) peers.values().stream().filter(peer -> !peer.fresh(nowMs)).count();
        return ConcurrencyLimit.of(slots, peers.size() - silent, silent, own, told.inFlight());
    }
}
