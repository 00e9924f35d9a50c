package org.kingcuproad.gateway;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.Stream;
import org.kingcuproad.policy.gateway.ConcurrencyLimit;

/** The loads that the other gateways have reported for each upstream. */
final class PeerLoads {

    /**
     * Age up to which a reported load is used; several report intervals long, so that single lost datagrams do not
     * matter.
     */
    private static final long MAX_LOAD_AGE_MS = 400;

    /** Time after which a gateway that neither sends messages nor is registered is removed. */
    private static final long EXPIRY_MS = 15_000;

    /**
     * Number of listings after which all gateways are known that had started before this one. The first may be some
     * seconds out of date, and another gateway that starts at the same time may not have registered yet.
     */
    private static final int COMPLETE_LISTINGS = 2;

    private final Map<String, Peer> peers = new HashMap<>();
    private int largestCount;
    private int listings;

    /**
     * Requests in progress at one upstream.
     *
     * @param inFlight number of requests in progress
     * @param pendingPrefillTokens prompt tokens of those requests whose response has not started
     */
    record Load(int inFlight, double pendingPrefillTokens) {

        static final Load NONE = new Load(0, 0);

        Load plus(Load other) {
            return new Load(inFlight + other.inFlight, pendingPrefillTokens + other.pendingPrefillTokens);
        }
    }

    private static final class Peer {

        private InetSocketAddress address;
        private long lastMessageMs = Long.MIN_VALUE / 2;
        private long lastListedMs = Long.MIN_VALUE / 2;
        private Map<String, Load> loads = Map.of();

        private Peer(InetSocketAddress address) {
            this.address = address;
        }

        private boolean reporting(long nowMs) {
            return nowMs - lastMessageMs <= MAX_LOAD_AGE_MS;
        }
    }

    /** Returns this gateway's own loads, to be sent to its peers. */
    static Map<String, Load> ownLoads(Stream<Upstream> upstreams) {
        Map<String, Load> loads = new HashMap<>();
        upstreams
                .filter(upstream -> upstream.inFlight() > 0)
                .forEach(upstream -> loads.put(
                        upstream.entry().id(), new Load(upstream.inFlight(), upstream.pendingPrefillTokens())));
        return loads;
    }

    /** Records a gateway that is registered in the store. */
    void onListed(String name, InetSocketAddress address, long nowMs) {
        Peer peer = peers.computeIfAbsent(name, unused -> new Peer(address));
        peer.address = address;
        peer.lastListedMs = nowMs;
        largestCount = Math.max(largestCount, peers.size());
    }

    /** Records that all gateways that are registered in the store have been listed. */
    void onListingEnd() {
        listings++;
    }

    /** Returns whether the gateways have been listed long enough after the start to be known. */
    boolean complete() {
        return listings >= COMPLETE_LISTINGS;
    }

    /** Returns the largest number of peers known at the same time; one that falls silent may still send requests. */
    int largestCount() {
        return largestCount;
    }

    /** Records the loads that a gateway reported. */
    void onMessage(String name, InetSocketAddress address, Map<String, Load> loads, long nowMs) {
        Peer peer = peers.computeIfAbsent(name, unused -> new Peer(address));
        peer.address = address;
        peer.lastMessageMs = nowMs;
        peer.loads = loads;
        largestCount = Math.max(largestCount, peers.size());
    }

    /** Returns the number of known peers, including those that no longer report. */
    int count() {
        return peers.size();
    }

    /** Returns the addresses of the known peers, after removing expired ones. */
    List<InetSocketAddress> addresses(long nowMs) {
        peers.values().removeIf(peer -> nowMs - Math.max(peer.lastMessageMs, peer.lastListedMs) > EXPIRY_MS);
        List<InetSocketAddress> addresses = new ArrayList<>();
        peers.values().forEach(peer -> addresses.add(peer.address));
        return addresses;
    }

    /** Returns the sum of the recent loads of all peers at an upstream. */
    Load at(String upstreamId, long nowMs) {
        return peers.values().stream()
                .filter(peer -> peer.reporting(nowMs))
                .map(peer -> peer.loads.getOrDefault(upstreamId, Load.NONE))
                .reduce(Load.NONE, Load::plus);
    }

    /** Returns the share of the known gateways, this one included, that have reported recently. */
    double reportingShare(long nowMs) {
        long reporting =
                peers.values().stream().filter(peer -> peer.reporting(nowMs)).count();
        return (reporting + 1.0) / (peers.size() + 1);
    }

    /** Returns the maximum number of requests that all gateways together should have in progress at an upstream. */
    int limit(int slots, int ownInFlight, Load peerLoad, long nowMs) {
        int silentPeers = (int)
                peers.values().stream().filter(peer -> !peer.reporting(nowMs)).count();
        return ConcurrencyLimit.of(slots, peers.size() - silentPeers, silentPeers, ownInFlight, peerLoad.inFlight());
    }
}
