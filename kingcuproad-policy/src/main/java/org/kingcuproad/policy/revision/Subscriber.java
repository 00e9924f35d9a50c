package org.kingcuproad.policy.revision;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.TreeSet;

/**
 * Decides where a process gets newer documents from: both relays of its data centre, and the store when no relay has
 * sent a message for {@link #RELAY_TIMEOUT_MS}. A process without any document also asks the peers in its settings.
 */
public final class Subscriber {

    /** Time without a message from any relay after which the store is read, in milliseconds. */
    public static final long RELAY_TIMEOUT_MS = 3_000;

    /**
     * Upper bound of the jitter added to store reads, so that the processes of a data centre do not read
     * simultaneously, in milliseconds.
     */
    public static final long STORE_READ_JITTER_MS = 1_000;

    /** Time without a message from one relay after which its subscription is renewed, in milliseconds. */
    public static final long RESUBSCRIBE_MS = 1_500;

    private final SplittableRandom random;
    private final List<String> peers;
    private final Map<String, Long> lastMessageMsByRelay = new HashMap<>();
    private final RevisionGate gate;
    private long lastRelayMessageMs;
    private long nextStoreReadMs;
    private int nextPeer;

    /**
     * Creates a subscriber without relays.
     *
     * @param gate gate that holds the revision in force
     * @param peers addresses of peer entries in the settings
     * @param seed seed of the jitter, different for each process
     * @param nowMs current time, in milliseconds
     */
    public Subscriber(RevisionGate gate, List<String> peers, long seed, long nowMs) {
        this.gate = gate;
        this.peers = List.copyOf(peers);
        this.random = new SplittableRandom(seed);
        this.lastRelayMessageMs = nowMs;
        this.nextStoreReadMs = gate.revision() == 0 ? nowMs : nowMs + RELAY_TIMEOUT_MS + jitterMs();
    }

    /**
     * Replaces the set of relays of the data centre.
     *
     * @param relays names from {@link RelaySelector}
     * @param nowMs current time, in milliseconds
     * @return actions for the process to perform, in order
     */
    public List<SubscriberAction> updateRelays(List<String> relays, long nowMs) {
        List<SubscriberAction> actions = new ArrayList<>();
        new TreeSet<>(lastMessageMsByRelay.keySet())
                .stream().filter(relay -> !relays.contains(relay)).forEach(relay -> {
                    lastMessageMsByRelay.remove(relay);
                    actions.add(new SubscriberAction.Unsubscribe(relay));
                });
        relays.stream()
                .filter(relay -> !lastMessageMsByRelay.containsKey(relay))
                .forEach(relay -> {
                    lastMessageMsByRelay.put(relay, nowMs);
                    actions.add(new SubscriberAction.Subscribe(relay));
                });
        return actions;
    }

    /**
     * Records a message, either a document or a heartbeat, from a relay.
     *
     * @param relay name of the relay
     * @param nowMs current time, in milliseconds
     */
    public void onRelayMessage(String relay, long nowMs) {
        if (lastMessageMsByRelay.containsKey(relay)) {
            lastMessageMsByRelay.put(relay, nowMs);
            lastRelayMessageMs = nowMs;
            nextStoreReadMs = nowMs + RELAY_TIMEOUT_MS + jitterMs();
        }
    }

    /**
     * Checks all timers.
     *
     * @param nowMs current time, in milliseconds
     * @return actions for the process to perform, in order
     */
    public List<SubscriberAction> tick(long nowMs) {
        List<SubscriberAction> actions = new ArrayList<>();
        new TreeSet<>(lastMessageMsByRelay.keySet())
                .stream()
                        .filter(relay -> nowMs - lastMessageMsByRelay.getOrDefault(relay, nowMs) >= RESUBSCRIBE_MS)
                        .forEach(relay -> {
                            lastMessageMsByRelay.put(relay, nowMs);
                            actions.add(new SubscriberAction.Unsubscribe(relay));
                            actions.add(new SubscriberAction.Subscribe(relay));
                        });
        if (nowMs >= nextStoreReadMs) {
            nextStoreReadMs = nowMs + RELAY_TIMEOUT_MS + jitterMs();
            actions.add(new SubscriberAction.ReadStore());
            if (gate.revision() == 0 && !peers.isEmpty()) {
                actions.add(new SubscriberAction.RequestFromPeer(peers.get(nextPeer)));
                nextPeer = (nextPeer + 1) % peers.size();
            }
        }
        return actions;
    }

    /**
     * Returns the time since the last message from any relay.
     *
     * @param nowMs current time, in milliseconds
     * @return the time in milliseconds; before the first message, the time since construction
     */
    public long sinceLastRelayMessageMs(long nowMs) {
        return nowMs - lastRelayMessageMs;
    }

    private long jitterMs() {
        return random.nextLong(STORE_READ_JITTER_MS);
    }
}
