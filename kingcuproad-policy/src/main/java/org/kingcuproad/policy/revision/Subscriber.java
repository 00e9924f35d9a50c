package org.kingcuproad.policy.revision;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.TreeSet;

/**
 * Decides where a process takes newer documents from: both relays of its data centre, and the store when no relay was
 * heard for {@link #SILENCE_MS}. A process without any document also asks the peers of its settings.
 */
public final class Subscriber {

    /** Time without any relay after which the store is read, in milliseconds. */
    public static final long SILENCE_MS = 3_000;

    /** Spread of the reads, so that the processes of a data centre do not read in the same instant, in milliseconds. */
    public static final long JITTER_MS = 1_000;

    /** Time without a message after which the subscription to one relay is made anew, in milliseconds. */
    public static final long RESUBSCRIBE_MS = 1_500;

    private final SplittableRandom random;
    private final List<String> peers;
    private final Map<String, Long> heardMs = new HashMap<>();
    private final RevisionGate gate;
    private long lastHeardMs;
    private long readAtMs;
    private int nextPeer;

    /**
     * Creates a subscriber without relays.
     *
     * @param gate the revision in force
     * @param peers addresses of peer entries in the settings
     * @param seed seed of the jitter, different for each process
     * @param nowMs present time
     */
    public Subscriber(RevisionGate gate, List<String> peers, long seed, long nowMs) {
        this.gate = gate;
        this.peers = List.copyOf(peers);
        this.random = new SplittableRandom(seed);
        this.lastHeardMs = nowMs;
        this.readAtMs = gate.revision() == 0 ? nowMs : nowMs + SILENCE_MS + jitterMs();
    }

    /**
     * Takes the relays of the data centre.
     *
     * @param relays names from {@link RelayChoice}
     * @param nowMs present time
     * @return what to carry out
     */
    public List<SubscriberEffect> relays(List<String> relays, long nowMs) {
        List<SubscriberEffect> effects = new ArrayList<>();
        new TreeSet<>(heardMs.keySet())
                .stream().filter(relay -> !relays.contains(relay)).forEach(relay -> {
                    heardMs.remove(relay);
                    effects.add(new SubscriberEffect.Unsubscribe(relay));
                });
        relays.stream().filter(relay -> !heardMs.containsKey(relay)).forEach(relay -> {
            heardMs.put(relay, nowMs);
            effects.add(new SubscriberEffect.Subscribe(relay));
        });
        return effects;
    }

    /**
     * Notes a document or heartbeat of a relay.
     *
     * @param relay name of the relay
     * @param nowMs present time
     */
    public void heard(String relay, long nowMs) {
        if (heardMs.containsKey(relay)) {
            heardMs.put(relay, nowMs);
            lastHeardMs = nowMs;
            readAtMs = nowMs + SILENCE_MS + jitterMs();
        }
    }

    /**
     * Lets time pass.
     *
     * @param nowMs present time
     * @return what to carry out
     */
    public List<SubscriberEffect> tick(long nowMs) {
        List<SubscriberEffect> effects = new ArrayList<>();
        new TreeSet<>(heardMs.keySet())
                .stream()
                        .filter(relay -> nowMs - heardMs.getOrDefault(relay, nowMs) >= RESUBSCRIBE_MS)
                        .forEach(relay -> {
                            heardMs.put(relay, nowMs);
                            effects.add(new SubscriberEffect.Unsubscribe(relay));
                            effects.add(new SubscriberEffect.Subscribe(relay));
                        });
        if (nowMs >= readAtMs) {
            readAtMs = nowMs + SILENCE_MS + jitterMs();
            effects.add(new SubscriberEffect.ReadStore());
            if (gate.revision() == 0 && !peers.isEmpty()) {
                effects.add(new SubscriberEffect.AskPeer(peers.get(nextPeer)));
                nextPeer = (nextPeer + 1) % peers.size();
            }
        }
        return effects;
    }

    /**
     * Returns the time without any relay.
     *
     * @param nowMs present time
     * @return milliseconds since a relay was heard
     */
    public long silenceMs(long nowMs) {
        return nowMs - lastHeardMs;
    }

    private long jitterMs() {
        return random.nextLong(JITTER_MS);
    }
}
