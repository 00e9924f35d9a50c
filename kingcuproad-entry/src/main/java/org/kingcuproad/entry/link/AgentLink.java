package org.kingcuproad.entry.link;

import io.grpc.ManagedChannel;
import io.grpc.netty.NettyChannelBuilder;
import io.grpc.stub.StreamObserver;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.util.concurrent.ScheduledFuture;
import java.net.InetSocketAddress;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import org.jspecify.annotations.Nullable;
import org.kingcuproad.wire.proto.AgentReport;
import org.kingcuproad.wire.proto.AgentServiceGrpc;
import org.kingcuproad.wire.proto.ExecuteRequest;
import org.kingcuproad.wire.proto.FenceRequest;
import org.kingcuproad.wire.proto.FenceResponse;
import org.kingcuproad.wire.proto.FenceState;
import org.kingcuproad.wire.proto.PrepareMapRequest;
import org.kingcuproad.wire.proto.PrepareMapResponse;
import org.kingcuproad.wire.proto.ReportRequest;
import org.kingcuproad.wire.proto.SettleMapRequest;
import org.kingcuproad.wire.proto.SettleMapResponse;

/**
 * The connection to one agent. Confined to the event loop of the entry: every method must be called there, and every
 * event is delivered there.
 */
public final class AgentLink {

    private static final int REPORT_INTERVAL_MS = 1_000;
    // Three missed reports; request streams have faster heartbeats of their own.
    private static final int REPORT_SILENCE_MS = 3_500;
    private static final int RECONNECT_DELAY_MS = 200;
    private static final int CONNECT_TIMEOUT_MS = 1_000;
    private static final int CALL_TIMEOUT_MS = 1_000;

    private final String upstream;
    private final InetSocketAddress address;
    private final String subscriber;
    private final EventLoop eventLoop;
    private final ReportListener listener;
    private final LongSupplier clockNs;
    private ManagedChannel channel;
    private int channelGeneration;
    private long incarnation;
    private long lastReportNs;
    private @Nullable ScheduledFuture<?> watchdog;
    private boolean closed;

    /**
     * Creates a link; {@link #open()} connects it.
     *
     * @param upstream name of the upstream that the agent runs next to
     * @param address address of the agent
     * @param subscriber name of this entry
     * @param eventLoop event loop of the entry
     * @param listener receives the reports
     * @param clockNs monotonic clock, in nanoseconds
     */
    public AgentLink(
            String upstream,
            InetSocketAddress address,
            String subscriber,
            EventLoop eventLoop,
            ReportListener listener,
            LongSupplier clockNs) {
        this.upstream = upstream;
        this.address = address;
        this.subscriber = subscriber;
        this.eventLoop = eventLoop;
        this.listener = listener;
        this.clockNs = clockNs;
        this.channel = newChannel();
    }

    /** Connects and subscribes to the reports, and re-establishes both after a failure until {@link #close()}. */
    public void open() {
        subscribe();
        watchdog = eventLoop.scheduleAtFixedRate(
                this::checkReports, REPORT_INTERVAL_MS, REPORT_INTERVAL_MS, TimeUnit.MILLISECONDS);
    }

    /** Closes the connection and all streams on it. */
    public void close() {
        closed = true;
        if (watchdog != null) {
            watchdog.cancel(false);
        }
        channel.shutdownNow();
    }

    /**
     * Returns the name of the upstream that the agent runs next to.
     *
     * @return name of the upstream
     */
    public String upstream() {
        return upstream;
    }

    /**
     * Returns the address of the agent.
     *
     * @return IP address and port
     */
    public InetSocketAddress address() {
        return address;
    }

    /**
     * Returns the incarnation of the agent, as last reported.
     *
     * @return the incarnation, or empty before the first report
     */
    public Optional<Long> incarnation() {
        return incarnation == 0 ? Optional.empty() : Optional.of(incarnation);
    }

    /**
     * Opens a stream for one attempt of a request.
     *
     * @param events receives what the agent sends
     * @return the stream, on which the caller first sends a dispatch or resume message
     */
    public ExecuteStream execute(Consumer<LinkEvent> events) {
        ExecuteObserver observer = new ExecuteObserver(eventLoop, events);
        StreamObserver<ExecuteRequest> requests =
                AgentServiceGrpc.newStub(channel).execute(observer);
        ExecuteStream stream = new ExecuteStream(requests, channelGeneration);
        observer.bind(stream);
        return stream;
    }

    /**
     * Asks the agent to fence an attempt of a request.
     *
     * @param request identifies the request and the attempt
     * @return the state that the agent reports, or an exceptional completion if the agent can't be reached in time
     */
    public CompletableFuture<FenceState> fence(FenceRequest request) {
        CompletableFuture<FenceResponse> result = new CompletableFuture<>();
        AgentServiceGrpc.newStub(channel)
                .withDeadlineAfter(CALL_TIMEOUT_MS, TimeUnit.MILLISECONDS)
                .fence(request, new UnaryObserver<>(eventLoop, result));
        return result.thenApply(FenceResponse::getState);
    }

    /**
     * Asks the agent to promise a map switch.
     *
     * @param request the map, the step and the fencing token
     * @param timeoutMs maximum wait, which includes loading the weights, in milliseconds
     * @return the answer, or an exceptional completion if the agent can't be reached in time
     */
    public CompletableFuture<PrepareMapResponse> prepareMap(PrepareMapRequest request, long timeoutMs) {
        CompletableFuture<PrepareMapResponse> result = new CompletableFuture<>();
        AgentServiceGrpc.newStub(channel)
                .withDeadlineAfter(timeoutMs, TimeUnit.MILLISECONDS)
                .prepareMap(request, new UnaryObserver<>(eventLoop, result));
        return result;
    }

    /**
     * Sends the result of a map switch to the agent.
     *
     * @param request the switch and whether all ranks promised
     * @return the acknowledgement, or an exceptional completion if the agent can't be reached in time
     */
    public CompletableFuture<SettleMapResponse> settleMap(SettleMapRequest request) {
        CompletableFuture<SettleMapResponse> result = new CompletableFuture<>();
        AgentServiceGrpc.newStub(channel)
                .withDeadlineAfter(CALL_TIMEOUT_MS, TimeUnit.MILLISECONDS)
                .settleMap(request, new UnaryObserver<>(eventLoop, result));
        return result;
    }

    /**
     * Replaces a connection on which messages no longer arrive. Such a connection does not recover, whereas new ones
     * work.
     *
     * @param failedGeneration generation of the failed channel; a newer channel is kept
     */
    public void replaceChannel(int failedGeneration) {
        if (closed || failedGeneration != channelGeneration) {
            return;
        }
        ManagedChannel oldChannel = channel;
        channelGeneration++;
        channel = newChannel();
        oldChannel.shutdownNow();
        subscribe();
    }

    private ManagedChannel newChannel() {
        return NettyChannelBuilder.forAddress(address)
                .eventLoopGroup(eventLoop)
                .channelType(NioSocketChannel.class, InetSocketAddress.class)
                .withOption(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MS)
                .executor(eventLoop)
                .usePlaintext()
                .build();
    }

    private void subscribe() {
        lastReportNs = clockNs.getAsLong();
        int subscribedGeneration = channelGeneration;
        ReportRequest request = ReportRequest.newBuilder()
                .setSubscriber(subscriber)
                .setIntervalMs(REPORT_INTERVAL_MS)
                .build();
        StreamObserver<AgentReport> reports = new StreamObserver<>() {
            @Override
            public void onNext(AgentReport report) {
                eventLoop.execute(() -> onReport(subscribedGeneration, report));
            }

            @Override
            public void onError(Throwable failure) {
                eventLoop.execute(() -> onReportsEnded(subscribedGeneration, String.valueOf(failure.getMessage())));
            }

            @Override
            public void onCompleted() {
                eventLoop.execute(() -> onReportsEnded(subscribedGeneration, "agent ended the report stream"));
            }
        };
        AgentServiceGrpc.newStub(channel).report(request, reports);
    }

    private void onReport(int reportGeneration, AgentReport report) {
        if (closed || reportGeneration != channelGeneration) {
            return;
        }
        lastReportNs = clockNs.getAsLong();
        incarnation = report.getIncarnation();
        listener.onReport(upstream, report);
    }

    private void onReportsEnded(int endedGeneration, String detail) {
        if (closed || endedGeneration != channelGeneration) {
            return;
        }
        listener.onUnreachable(upstream, detail);
        eventLoop.schedule(
                () -> {
                    if (!closed && endedGeneration == channelGeneration) {
                        subscribe();
                    }
                },
                RECONNECT_DELAY_MS,
                TimeUnit.MILLISECONDS);
    }

    private void checkReports() {
        long silentMs = TimeUnit.NANOSECONDS.toMillis(clockNs.getAsLong() - lastReportNs);
        if (silentMs > REPORT_SILENCE_MS) {
            listener.onUnreachable(upstream, "no report for " + silentMs + " ms");
            replaceChannel(channelGeneration);
        }
    }
}
