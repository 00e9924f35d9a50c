package org.kingcuproad.relay;

import io.netty.channel.EventLoop;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import java.util.stream.Collectors;
import org.kingcuproad.config.EnvironmentDocumentReader;
import org.kingcuproad.model.HostPort;
import org.kingcuproad.model.KingcuproadException;
import org.kingcuproad.model.VersionedDocument;
import org.kingcuproad.platform.ObjectStore;
import org.kingcuproad.platform.ReadResult;
import org.kingcuproad.platform.Vm;
import org.kingcuproad.platform.VmListResult;
import org.kingcuproad.platform.VmRole;
import org.kingcuproad.platform.VmState;
import org.kingcuproad.platform.environment.StoredDocument;
import org.kingcuproad.policy.revision.RelaySelector;
import org.kingcuproad.policy.revision.RevisionGate;
import org.kingcuproad.policy.revision.Subscriber;
import org.kingcuproad.policy.revision.SubscriberAction;
import org.kingcuproad.runtime.log.StructuredLog;
import org.kingcuproad.wire.proto.DocumentUpdate;
import org.kingcuproad.wire.proto.SubscribeRequest;

/**
 * Keeps a process at the latest document and VM list: a relay watches the store, every other process subscribes to the
 * relays of its data centre and reads the store only when it hears from none. Owned by one event loop.
 */
public final class DocumentFollower {

    private static final int TICK_MS = 250;
    private static final int VM_POLL_MS = 1_000;

    private final FollowerOptions options;
    private final ObjectStore store;
    private final EventLoop eventLoop;
    private final FollowerListener listener;
    private final LongSupplier clockMs;
    private final RevisionGate gate = new RevisionGate();
    private final Subscriber subscriber;
    private final DocumentWatch watch;
    private final Map<String, RelaySubscription> subscriptions = new HashMap<>();
    private Map<String, HostPort> entryAddresses = Map.of();
    private boolean relay;
    private long lastVmPollMs;

    /**
     * Creates a follower; {@link #start()} begins.
     *
     * @param options who follows what
     * @param store the platform's store
     * @param eventLoop event loop that owns the state
     * @param listener receives documents and VM lists
     * @param clockMs monotonic clock, in milliseconds
     */
    public DocumentFollower(
            FollowerOptions options,
            ObjectStore store,
            EventLoop eventLoop,
            FollowerListener listener,
            LongSupplier clockMs) {
        this.options = options;
        this.store = store;
        this.eventLoop = eventLoop;
        this.listener = listener;
        this.clockMs = clockMs;
        List<String> peers = options.peers().stream().map(HostPort::toString).toList();
        this.subscriber = new Subscriber(gate, peers, options.name().hashCode(), clockMs.getAsLong());
        this.watch = new DocumentWatch(store, key(), eventLoop, this::apply);
    }

    /** Begins to follow. */
    public void start() {
        eventLoop.execute(this::readStore);
        eventLoop.scheduleAtFixedRate(this::tick, 0, TICK_MS, TimeUnit.MILLISECONDS);
    }

    /**
     * Tells whether this process is a relay of its data centre.
     *
     * @return {@code true} while it watches the store for others
     */
    public boolean relay() {
        return relay;
    }

    /** Closes the subscriptions and the watch. */
    public void close() {
        watch.setWanted(false);
        subscriptions.values().forEach(RelaySubscription::close);
        subscriptions.clear();
    }

    private void tick() {
        long nowMs = clockMs.getAsLong();
        subscriber.tick(nowMs).forEach(this::carryOut);
        if (relay && nowMs - lastVmPollMs >= VM_POLL_MS) {
            lastVmPollMs = nowMs;
            pollVms();
        }
    }

    private void carryOut(SubscriberAction effect) {
        switch (effect) {
            case SubscriberAction.Subscribe subscribe -> subscribe(subscribe.relay());
            case SubscriberAction.Unsubscribe unsubscribe -> unsubscribe(unsubscribe.relay());
            case SubscriberAction.ReadStore read -> readStore();
            case SubscriberAction.RequestFromPeer ask -> askPeer(ask.peer());
        }
    }

    private void subscribe(String relayName) {
        HostPort address = entryAddresses.get(relayName);
        if (address == null) {
            return;
        }
        RelaySubscription opened =
                RelaySubscription.open(address, request(), eventLoop, update -> onUpdate(relayName, update));
        RelaySubscription previous = subscriptions.put(relayName, opened);
        if (previous != null) {
            previous.close();
        }
    }

    private void unsubscribe(String relayName) {
        RelaySubscription subscription = subscriptions.remove(relayName);
        if (subscription != null) {
            subscription.close();
        }
    }

    private void askPeer(String peer) {
        try {
            HostPort address = HostPort.parse(peer);
            RelaySubscription asked = RelaySubscription.open(address, request(), eventLoop, this::onPeerUpdate);
            eventLoop.schedule(asked::close, Subscriber.RELAY_TIMEOUT_MS, TimeUnit.MILLISECONDS);
        } catch (KingcuproadException malformed) {
            StructuredLog.warn(malformed, "peer address is malformed", Map.of("peer", peer));
        }
    }

    private void onPeerUpdate(DocumentUpdate update) {
        onUpdate("", update);
    }

    private void onUpdate(String relayName, DocumentUpdate update) {
        subscriber.onRelayMessage(relayName, clockMs.getAsLong());
        if (update.getRevision() > gate.revision()) {
            applyMessage(update);
        }
        if (update.getHasVms() && !relay) {
            applyVms(VmMessages.vms(update));
        }
    }

    private void applyMessage(DocumentUpdate update) {
        try {
            apply(new VersionedDocument(
                    EnvironmentDocumentReader.read(update.getDocument().toByteArray()),
                    update.getRevision(),
                    update.getOperationId()));
        } catch (KingcuproadException failure) {
            StructuredLog.warn(failure, "relayed document is invalid", Map.of("revision", update.getRevision()));
        }
    }

    private void readStore() {
        store.get(key()).thenAcceptAsync(this::onRead, eventLoop);
        pollVms();
    }

    private void onRead(ReadResult result) {
        if (result instanceof ReadResult.Found found && found.object().version() > gate.revision()) {
            try {
                apply(StoredDocument.read(found.object()));
            } catch (KingcuproadException failure) {
                StructuredLog.warn(failure, "stored document is invalid", Map.of("key", key()));
            }
        }
    }

    private void pollVms() {
        store.vms(options.stage()).thenAcceptAsync(this::onVmList, eventLoop);
    }

    private void onVmList(VmListResult result) {
        if (result instanceof VmListResult.Listed listed) {
            applyVms(listed.vms());
        }
    }

    private void apply(VersionedDocument document) {
        if (gate.admit(document.revision())) {
            listener.onDocument(document);
        }
    }

    private void applyVms(List<Vm> vms) {
        entryAddresses = vms.stream()
                .filter(vm -> vm.role() == VmRole.ENTRY)
                .filter(vm -> vm.state() == VmState.LIVE)
                .filter(vm -> vm.dataCentre().equals(options.dataCentre()))
                .collect(Collectors.toMap(Vm::name, Vm::address, (first, second) -> second));
        List<String> relays =
                RelaySelector.select(options.environment(), options.dataCentre(), entryAddresses.keySet());
        relay = options.mayRelay() && relays.contains(options.name());
        watch.setWanted(relay);
        List<String> others =
                relays.stream().filter(name -> !name.equals(options.name())).toList();
        subscriber.updateRelays(others, clockMs.getAsLong()).forEach(this::carryOut);
        listener.onVms(vms);
    }

    private SubscribeRequest request() {
        return SubscribeRequest.newBuilder()
                .setEnvironment(options.environment())
                .setStage(options.stage().label())
                .setHaveRevision(gate.revision())
                .setSubscriber(options.name())
                .setDataCentre(options.dataCentre())
                .setAllVms(options.mayRelay())
                .build();
    }

    private String key() {
        return StoredDocument.key(options.environment(), options.stage());
    }
}
