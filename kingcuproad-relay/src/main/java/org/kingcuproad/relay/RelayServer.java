package org.kingcuproad.relay;

import com.google.protobuf.ByteString;
import io.grpc.Status;
import io.grpc.stub.ServerCallStreamObserver;
import io.grpc.stub.StreamObserver;
import io.netty.channel.EventLoop;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.kingcuproad.config.CanonicalJson;
import org.kingcuproad.model.VersionedDocument;
import org.kingcuproad.platform.Vm;
import org.kingcuproad.platform.VmRole;
import org.kingcuproad.wire.proto.DocumentUpdate;
import org.kingcuproad.wire.proto.RelayServiceGrpc;
import org.kingcuproad.wire.proto.SubscribeRequest;

/**
 * Sends the document in force and the VM list to subscribers. Every entry serves this, also those that are not chosen
 * as relays, so that a fresh process gets a document from any of them. Owned by one event loop.
 */
public final class RelayServer extends RelayServiceGrpc.RelayServiceImplBase {

    private static final int HEARTBEAT_MS = 500;
    private static final DocumentUpdate HEARTBEAT = DocumentUpdate.getDefaultInstance();

    private final String environment;
    private final String stage;
    private final EventLoop eventLoop;
    private final List<Subscription> subscriptions = new ArrayList<>();
    private Optional<DocumentUpdate> document = Optional.empty();
    private List<Vm> vms = List.of();

    /**
     * Creates a server without a document.
     *
     * @param environment name of the environment
     * @param stage label of the stage
     * @param eventLoop event loop that owns the state
     */
    public RelayServer(String environment, String stage, EventLoop eventLoop) {
        this.environment = environment;
        this.stage = stage;
        this.eventLoop = eventLoop;
        eventLoop.scheduleAtFixedRate(this::sendHeartbeats, HEARTBEAT_MS, HEARTBEAT_MS, TimeUnit.MILLISECONDS);
    }

    /**
     * Sends a document to all subscribers that have an older one. Called on the event loop.
     *
     * @param versioned the document in force
     */
    public void publish(VersionedDocument versioned) {
        DocumentUpdate update = DocumentUpdate.newBuilder()
                .setRevision(versioned.revision())
                .setOperationId(versioned.operationId())
                .setDocument(ByteString.copyFrom(CanonicalJson.write(versioned.document())))
                .build();
        document = Optional.of(update);
        subscriptions.forEach(subscription -> subscription.offer(update));
    }

    /**
     * Sends a changed VM list to all subscribers. Called on the event loop.
     *
     * @param newVms all VMs
     */
    public void publish(List<Vm> newVms) {
        if (!newVms.equals(vms)) {
            vms = List.copyOf(newVms);
            subscriptions.forEach(subscription -> subscription.offer(vms));
        }
    }

    /**
     * Counts the subscribers.
     *
     * @return open subscriptions
     */
    public int subscribers() {
        return subscriptions.size();
    }

    @Override
    public void subscribe(SubscribeRequest request, StreamObserver<DocumentUpdate> updates) {
        ServerCallStreamObserver<DocumentUpdate> stream = (ServerCallStreamObserver<DocumentUpdate>) updates;
        Subscription subscription = new Subscription(request, stream);
        stream.setOnCancelHandler(() -> eventLoop.execute(() -> subscriptions.remove(subscription)));
        if (!request.getEnvironment().equals(environment) || !request.getStage().equals(stage)) {
            stream.onError(Status.FAILED_PRECONDITION
                    .withDescription("this entry serves " + environment + "/" + stage)
                    .asRuntimeException());
            return;
        }
        eventLoop.execute(() -> accept(subscription));
    }

    private void accept(Subscription subscription) {
        subscriptions.add(subscription);
        document.ifPresentOrElse(subscription::offer, () -> subscription.send(HEARTBEAT));
        subscription.offer(vms);
    }

    private void sendHeartbeats() {
        subscriptions.forEach(subscription -> subscription.send(HEARTBEAT));
    }

    /** One subscriber and what it has. */
    private static final class Subscription {

        private final SubscribeRequest request;
        private final ServerCallStreamObserver<DocumentUpdate> stream;
        private long sentRevision;

        Subscription(SubscribeRequest request, ServerCallStreamObserver<DocumentUpdate> stream) {
            this.request = request;
            this.stream = stream;
            this.sentRevision = request.getHaveRevision();
        }

        void offer(DocumentUpdate update) {
            if (update.getRevision() > sentRevision) {
                sentRevision = update.getRevision();
                send(update);
            } else {
                send(HEARTBEAT);
            }
        }

        void offer(List<Vm> all) {
            List<Vm> needed = all.stream()
                    .filter(vm -> request.getAllVms() || isLocalEntry(vm))
                    .toList();
            send(VmMessages.update(needed));
        }

        void send(DocumentUpdate update) {
            if (!stream.isCancelled()) {
                stream.onNext(update);
            }
        }

        private boolean isLocalEntry(Vm vm) {
            return vm.role() == VmRole.ENTRY && vm.dataCentre().equals(request.getDataCentre());
        }
    }
}
